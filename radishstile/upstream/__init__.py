"""Upstreams: slots, health, slow start and drain."""
