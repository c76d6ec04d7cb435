"""Stand-ins for all that surrounds a softswitch, scripted, on loopback: for tests, the demo, benchmarks."""
