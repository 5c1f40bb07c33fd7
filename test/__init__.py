"""Tests of radishstile."""
