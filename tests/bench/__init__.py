"""Tests of the bench tools."""
