"""Decide which server of an uneven pool gets a request, from stale load reports."""
