"""Speak the names, formats and calls of the users' platform."""
