"""Recording, replay and explanation of routing decisions."""
