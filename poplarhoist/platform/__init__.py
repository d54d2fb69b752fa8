"""Integration with the users' platform: its headers, documents and object store.

This package only translates: it makes no decisions and holds no state.
"""
