"""Clients and codecs for the platform: its stores, files and HTTP headers."""
