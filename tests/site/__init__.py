"""End-to-end tests of real processes with stand-ins of the platform."""
