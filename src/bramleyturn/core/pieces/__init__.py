"""Plan the work of stages over batches, servers and room for results."""
