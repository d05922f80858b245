"""The request of a caller, the response of an endpoint, and what is known of both."""
