"""Choosing a target: inputs, policies and decisions."""
