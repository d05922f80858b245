"""The software versions at which streams began, kept over all daemons."""
