"""Read the configuration and instance list for the processes of one instance."""
