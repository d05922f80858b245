"""Turns of programs whose chains the fleet keeps."""
