"""Settings and configuration: loaded, checked, published, kept in force."""
