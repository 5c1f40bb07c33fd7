"""Regions: capacity limits and the links between regions."""
