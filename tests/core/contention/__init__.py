"""Test the admission of requests under overload."""
