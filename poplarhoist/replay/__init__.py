"""Simulates a site on a virtual clock: the reducers of several entries, and fakes around them."""
