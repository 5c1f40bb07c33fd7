"""Tests of `radishstile.upstream`."""
