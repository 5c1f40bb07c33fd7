"""Tests of the soak, and its short seeded runs."""
