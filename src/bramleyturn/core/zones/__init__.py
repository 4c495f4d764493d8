"""Decide which availability zones and regions a request may reach."""
