"""Quotas of requests that workspaces have over all daemons together."""
