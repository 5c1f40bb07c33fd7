"""Typed messages between hosts, by topic."""
