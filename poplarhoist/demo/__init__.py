"""Demonstration: a whole site as green threads of one process."""
