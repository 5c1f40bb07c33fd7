"""Typed messages between hosts, by theme."""
