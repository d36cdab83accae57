"""Records that travel between processes."""
