"""Chooses the session server for each call set-up, or refuses the call. Design: `docs/design.md`."""

from pearloom.policy.controller import Controller as Controller
