"""Tests of `radishstile.operation`."""
