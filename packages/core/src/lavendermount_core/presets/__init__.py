"""Preset records, and the fold over them that determines the preset in force."""
