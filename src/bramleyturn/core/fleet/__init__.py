"""Track the live instances, who owns a task and who watches the store."""
