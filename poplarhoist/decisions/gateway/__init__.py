"""Decisions of an entry whose endpoints guard their own adapters and check epochs."""
