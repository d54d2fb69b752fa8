"""Input and output of the gateway: sockets, HTTP calls and logs.

All policy is in :mod:`poplarhoist.decisions.gateway`.
"""
