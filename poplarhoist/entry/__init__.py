"""Sockets, HTTP clients and green threads of an entry; the decisions themselves do no I/O."""
