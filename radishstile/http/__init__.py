"""HTTP servers for callers and operators, and the upstream client."""
