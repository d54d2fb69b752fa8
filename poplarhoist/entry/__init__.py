"""The shell of an entry: sockets and clients around the pure decisions."""
