"""Decisions of an entry whose engines enforce their own adapter slots and reject stale epochs."""
