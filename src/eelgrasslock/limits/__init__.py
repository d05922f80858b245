"""Limits of requests a second that endpoints name for all daemons together."""
