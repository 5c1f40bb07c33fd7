"""Tests of `radishstile.configuration`."""
