"""Implementation of ``poplarhoist-ctl``: the commands and their execution against a site."""
