"""Know the other instances and what each of them owns."""
