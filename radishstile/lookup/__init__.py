"""Look-ups: which entry hosts a caller should use."""
