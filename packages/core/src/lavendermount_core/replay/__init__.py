"""Recorded decisions, their replay and their explanation."""
