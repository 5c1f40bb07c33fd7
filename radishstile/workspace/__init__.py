"""Workspaces: API keys, rate limits and fair queues."""
