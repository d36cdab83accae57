"""The only way to the node's own target."""
