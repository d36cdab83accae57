"""Implementations of the node's commands."""
