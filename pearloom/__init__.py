"""pearloom: which call set-up goes to which central server, decided by every edge proxy alone."""

from pearloom.policy import Controller

__all__ = ["Controller"]
