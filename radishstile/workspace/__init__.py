"""Workspaces: keys, request rate and fair queues."""
