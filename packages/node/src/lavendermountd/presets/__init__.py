"""Tracks the preset in force, applies it to the node and keeps it on the log."""
