"""Scheduling of calls: which call runs when and where; does no I/O."""
