"""Slots of upstreams: one count and one queue for all who send there."""
