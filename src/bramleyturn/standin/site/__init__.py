"""Stand-ins for the platform: its store, engines, stage servers and services."""
