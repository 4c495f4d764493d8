"""Test the retry budget."""
