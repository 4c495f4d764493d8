"""Encode and decode the formats, headers and calls of the users' platform."""
