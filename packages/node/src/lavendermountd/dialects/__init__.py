"""How callers and targets say what they say, in headers."""
