"""The other daemons: links, heartbeats, membership and retirement."""
