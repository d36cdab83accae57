"""Records that are exchanged between processes."""
