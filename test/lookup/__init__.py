"""Tests of `radishstile.lookup`."""
