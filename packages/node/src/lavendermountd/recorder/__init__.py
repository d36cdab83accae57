"""Recording decisions."""
