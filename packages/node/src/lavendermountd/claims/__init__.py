"""Idempotency keys, agreed on through the log."""
