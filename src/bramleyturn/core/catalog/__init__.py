"""Hold what the platform publishes, as typed values."""
