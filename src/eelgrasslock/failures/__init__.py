"""What became of endpoints, links and the requests that they had."""
