"""Planned moves of traffic between regions, under a rate cap."""
