"""Measurements of decisions, run by hand."""
