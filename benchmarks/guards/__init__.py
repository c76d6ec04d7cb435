"""Removes each guard in a copy of the tree, to see whether its tests fail: `python -m benchmarks.guards`."""
