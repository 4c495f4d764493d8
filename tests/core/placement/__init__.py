"""Test the choice and health of backend servers."""
