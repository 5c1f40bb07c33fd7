"""Measures what each role costs, and fits it to the target's size."""
