"""Attempts at endpoints until one has answered a request."""
