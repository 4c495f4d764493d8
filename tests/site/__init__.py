"""Whole paths through real processes on stand-ins of the platform."""
