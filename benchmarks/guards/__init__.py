"""Removes each guard in a copy of the tree, to see whether its tests notice: `python -m benchmarks.guards`."""
