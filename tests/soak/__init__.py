"""A randomized fault soak: real entries as processes, faults from outside, promises checked."""
