"""Estimate times to first event, time already spent, and when to retry."""
