"""Stand-ins for the systems that bramleyturn meets, and the fault proxy."""
