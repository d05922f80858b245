"""Measurements of the decisions against a cost model of engines."""
