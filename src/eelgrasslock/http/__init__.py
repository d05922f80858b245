"""An HTTP/1.1 client with pooled connections, for endpoints and the store."""
