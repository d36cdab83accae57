"""Target selection: inputs, policies and decisions."""
