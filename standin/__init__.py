"""Stand-ins for the platform and upstreams, for tests and demos."""
