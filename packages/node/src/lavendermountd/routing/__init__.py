"""Choosing targets, retries and hedges."""
