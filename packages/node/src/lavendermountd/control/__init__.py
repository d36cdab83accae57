"""gRPC interface for gossip between nodes and for operators."""
