"""The numbered configuration document and its patches."""
