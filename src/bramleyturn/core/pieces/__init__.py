"""Schedule stage work by batch size, server load and space for results."""
