"""HTTP/1.1 towards endpoints and the platform's store, on kept connections."""
