"""Tests of `radishstile.cli`."""
