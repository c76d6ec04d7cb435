"""Measurements that take too long for CI."""
