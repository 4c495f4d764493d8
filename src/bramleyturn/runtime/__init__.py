"""Run the core of an entry process on Twisted: sockets, timers and signals."""
