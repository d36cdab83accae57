"""Preset records and the fold that decides which preset is in force."""
