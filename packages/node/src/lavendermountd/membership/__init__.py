"""Membership of the nodes and gossip between them."""
