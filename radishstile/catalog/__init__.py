"""The operator's configuration, as used by the entry hosts."""
