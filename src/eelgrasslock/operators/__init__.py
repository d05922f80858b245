"""The operators' interface and command line."""
