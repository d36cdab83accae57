"""Presets, routing decisions and the platform's log, shared by all binaries."""
