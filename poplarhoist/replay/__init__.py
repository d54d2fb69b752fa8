"""Runs the decisions of several entries on a virtual clock with small fakes at the interfaces."""
