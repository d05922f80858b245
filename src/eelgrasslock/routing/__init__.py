"""Which route and service a request takes, by the configuration in force."""
