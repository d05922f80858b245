"""Agent programs: their journal, budgets, ownership and takeover."""
