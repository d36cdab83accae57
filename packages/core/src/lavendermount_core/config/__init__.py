"""Typed settings and their validation."""
