"""HTTP for metrics and announcements."""
