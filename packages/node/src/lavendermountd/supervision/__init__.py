"""Supervision of the node's tasks and detection of process freezes."""
