"""Turns whose history the fleet keeps, so that callers send their new input only."""
