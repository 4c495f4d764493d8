"""Test estimates of times to first event and times of retries."""
