"""Workspaces: who a request belongs to, by its API key."""
