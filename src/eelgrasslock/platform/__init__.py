"""The users' platform: its names and formats, translated into our types."""
