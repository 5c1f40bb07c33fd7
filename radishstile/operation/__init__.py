"""Operators' commands and their execution."""
