"""Implementations of the commands; related commands share a module."""
