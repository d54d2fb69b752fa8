"""Pure decisions: events in, effects out; no I/O, no clock, no thread."""
