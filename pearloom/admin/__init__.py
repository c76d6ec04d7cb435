"""Operators' calls and upgrades."""
