"""Peer streams between hosts: frames, messages and codec."""
