"""Gossip and operators over gRPC."""
