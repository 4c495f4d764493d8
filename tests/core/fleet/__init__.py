"""Test liveness, ownership and freshness among instances."""
