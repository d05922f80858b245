"""Communication between daemons: RPC, heartbeats, membership and load reports."""
