"""Runs of requests: idempotency records, retries and outcomes."""
