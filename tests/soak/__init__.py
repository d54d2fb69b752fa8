"""A randomized soak test: entries as real processes, external faults, and checks for violations."""
