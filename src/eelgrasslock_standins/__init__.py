"""Small stand-ins for the platform and the back ends, for demos and tests."""
