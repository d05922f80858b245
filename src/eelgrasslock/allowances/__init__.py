"""Token budgets of programs, kept over all daemons by draws in the log."""
