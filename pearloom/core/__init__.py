"""Core of the softswitch: exchange, connections, clock, errors, counters, logs and configuration."""
