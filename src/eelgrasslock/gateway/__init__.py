"""A reverse proxy that routes requests by host and path prefix."""
