"""Tests of `radishstile.fleet`."""
