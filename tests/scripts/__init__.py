"""Tests of the scripts."""
