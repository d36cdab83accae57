"""The process beside each target."""
