"""Token budgets of programs, enforced across all daemons by draws in the log."""
