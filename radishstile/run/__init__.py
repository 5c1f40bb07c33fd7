"""Execution of requests: idempotency records, retries, poison requests."""
