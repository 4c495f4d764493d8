"""Decide how many requests a server gets while it is cold."""
