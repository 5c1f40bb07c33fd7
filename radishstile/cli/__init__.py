"""Command line of the operators' client."""
