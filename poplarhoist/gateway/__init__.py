"""Input and output of the gateway: sockets, HTTP calls and logs.

All policy is in :mod:`poplarhoist.decisions.gateway`. The decision loop, listener, HTTP helpers and
metrics come from :mod:`poplarhoist.entry`, which is also the entry that `poplarhoist.cli.entry`
runs.
"""
