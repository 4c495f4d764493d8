"""Decide which requests wait, which are refused and when they may return."""
