"""Who is in the system."""
