"""Idempotency keys, claimed through the log."""
