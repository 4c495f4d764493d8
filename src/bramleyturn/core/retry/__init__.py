"""Bound the number of retries."""
