"""Supervision of the node's tasks."""
