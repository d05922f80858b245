"""The responses of endpoints on their way to callers, and whether they are whole."""
