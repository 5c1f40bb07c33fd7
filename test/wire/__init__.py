"""Tests of `radishstile.wire`."""
