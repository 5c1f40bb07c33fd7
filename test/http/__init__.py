"""Tests of `radishstile.http`."""
