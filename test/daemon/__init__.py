"""Tests of `radishstile.daemon`."""
