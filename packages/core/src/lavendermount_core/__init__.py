"""Code shared by all binaries: settings, presets, routing and the platform's log."""
