"""Regions: capacity and the links between them."""
