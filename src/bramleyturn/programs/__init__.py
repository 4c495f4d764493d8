"""Entry points: one module for each program."""
