"""What every part stands on: the exchange, connections, time, errors, counters, logs, configuration."""
