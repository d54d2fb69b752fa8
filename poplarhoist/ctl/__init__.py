"""What ``poplarhoist-ctl`` does: commands as data, and their execution against a site."""
