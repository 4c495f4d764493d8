"""Read the published folder for the processes of one instance."""
