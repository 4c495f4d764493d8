"""Decisions without input or output: state, event and time in, actions out."""
