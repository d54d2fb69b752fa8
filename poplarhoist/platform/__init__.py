"""Integration with the platform that poplarhoist is deployed on: headers, documents and store.

This package only translates: it makes no decisions and holds no state.
"""
