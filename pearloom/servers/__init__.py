"""Session servers: the pool list, one trunk for each server, and the directory of all trunks."""
