"""Peer connections between hosts: frames, messages and codec."""
