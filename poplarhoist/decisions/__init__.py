"""Decision logic of an entry: a pure reducer that maps events to effects.

Nothing in this package does I/O, reads a clock or starts a thread.
"""
