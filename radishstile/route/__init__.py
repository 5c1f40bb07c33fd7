"""Routes: matching requests and ordering the zones where they may run."""
