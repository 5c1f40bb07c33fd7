"""A randomized soak: real entry hosts as processes, faults from outside."""
