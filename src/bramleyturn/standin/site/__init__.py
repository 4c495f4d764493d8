"""Stand in for the platform: its store, engines, stage servers and services."""
