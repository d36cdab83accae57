"""Stand-ins of the platform, targets and links for tests, demo and benches."""
