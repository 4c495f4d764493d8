"""Define typed values for the configuration and servers that the platform publishes."""
