"""Adapters to the users' platform: its names and formats as types of this package."""
