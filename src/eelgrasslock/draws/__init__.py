"""What programs draw on their budgets while the log is away."""
