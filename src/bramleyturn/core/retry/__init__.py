"""Bound what is sent more than once."""
