"""Randomized soak test: entry hosts as processes, with fault injection."""
