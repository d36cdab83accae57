"""Requests between nodes."""
