"""Test routes and the registry of servers."""
