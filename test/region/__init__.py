"""Tests of `radishstile.region`."""
