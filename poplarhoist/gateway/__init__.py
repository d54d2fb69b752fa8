"""The shell around the gateway's decisions: sockets in, calls out, no policy."""
