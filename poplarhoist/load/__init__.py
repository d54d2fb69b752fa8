"""Load, measures and their report."""
