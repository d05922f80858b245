"""The platform's log: its records, readers and writers."""
