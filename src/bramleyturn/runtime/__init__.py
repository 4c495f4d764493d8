"""Twisted sockets, timers and signals around the core."""
