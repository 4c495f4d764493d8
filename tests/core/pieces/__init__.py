"""Tests of the planning of stages."""
