"""Load generation for running sites, cost measurements, and reports of both."""
