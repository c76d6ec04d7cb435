"""Fakes of the systems around a softswitch, on loopback: for tests, the demo and benchmarks."""
