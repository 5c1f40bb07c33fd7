"""Slot scheduling: concurrency limits and claim queues of upstreams."""
