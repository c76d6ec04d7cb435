"""Callers of the binary protocol: their messages and their listener."""
