"""Allotments of tenants: rate limits that hold over all nodes."""
