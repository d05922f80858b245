"""Requests that are passed on by host and path, for callers of any protocol."""
