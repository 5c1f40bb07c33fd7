"""Routes: matching a request and choosing where it may run."""
