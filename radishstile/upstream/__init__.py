"""Upstreams: registration, slots, health, slow start and draining."""
