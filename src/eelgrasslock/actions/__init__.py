"""The guard of non-idempotent requests."""
