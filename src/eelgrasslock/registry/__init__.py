"""The endpoints and daemons that the log names."""
