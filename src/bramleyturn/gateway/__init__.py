"""Serve callers on the users' platform: connections, timers, peers and the store."""
