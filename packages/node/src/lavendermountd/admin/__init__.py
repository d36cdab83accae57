"""Admin HTTP server: metrics, readiness and target announcements."""
