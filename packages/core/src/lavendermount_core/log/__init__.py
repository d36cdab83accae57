"""Adapters to the platform's append-only log."""
