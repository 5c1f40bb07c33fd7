"""Tests of `bench`."""
