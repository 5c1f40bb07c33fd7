"""Tests of `radishstile.route`."""
