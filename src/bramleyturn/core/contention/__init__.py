"""Decide which requests are served when they ask for more than there is capacity."""
