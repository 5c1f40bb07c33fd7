"""Planned moves of traffic under a cap."""
