"""Decisions of an entry: routing, retries, leads of engines and their adapter slots.

The lead of an engine keeps within its adapter slots; one adapter too many makes an engine crash.
The engine rejects orders with an unexpected order count and, if it checks epochs, those of an
earlier lead.
"""
