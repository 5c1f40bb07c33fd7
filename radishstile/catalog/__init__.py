"""What the operator has configured, as the entry hosts use it."""
