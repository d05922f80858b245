"""The platform's log: records, readers and writers."""
