"""Commands of the node's command line."""
