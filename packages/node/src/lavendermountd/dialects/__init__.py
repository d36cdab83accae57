"""Dialects: the headers that callers and targets use."""
