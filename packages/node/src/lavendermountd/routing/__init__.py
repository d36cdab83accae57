"""Request routing: target selection, retries and hedges."""
