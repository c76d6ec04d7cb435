"""Every decision of pearloom: which call set-up goes to which session server, and which is refused.

Mechanism and changes: `docs/design.md`; interface: `pearloom/interface.py`."""

from pearloom.policy.controller import Controller as Controller
