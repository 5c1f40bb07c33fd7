"""Tests of `radishstile.workspace`."""
