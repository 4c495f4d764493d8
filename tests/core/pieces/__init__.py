"""Test the planning of stages."""
