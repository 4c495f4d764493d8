"""Hold the OpenAPI documents of the programs."""
