"""A scheduler for agent programs, run as a fleet of small daemons."""

__version__ = "0.1.0"
