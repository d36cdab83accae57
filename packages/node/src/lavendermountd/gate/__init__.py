"""Admission to the node's own target and dispatch of requests to it."""
