"""The fault matrix: every fault at every step, and what shows each cell."""
