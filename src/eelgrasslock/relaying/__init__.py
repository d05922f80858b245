"""Requests that a daemon without links passes on to a peer."""
