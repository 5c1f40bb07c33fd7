"""Tests of `radishstile.run`."""
