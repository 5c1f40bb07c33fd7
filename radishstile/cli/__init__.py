"""The `radishstile` command line for operators."""
