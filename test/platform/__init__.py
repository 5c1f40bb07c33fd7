"""Tests of `radishstile.platform`."""
