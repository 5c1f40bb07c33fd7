"""Tests of `radishstile.shift`."""
