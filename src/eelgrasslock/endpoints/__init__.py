"""The clients of engines and plain services, and what watches them."""
