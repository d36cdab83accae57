"""Recording of routing decisions."""
