"""The way of a request: the filter chain, from the caller to an endpoint."""
