"""Schemas and validation of settings and presets."""
