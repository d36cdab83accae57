"""Connections between nodes and the requests they forward."""
