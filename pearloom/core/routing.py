"""What a host of routing rules is to the exchange: it says each call's way, and hears how each one ended.

Values and a protocol alone; without such a host every call has the way that the decision module gives it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from pearloom import interface as api
from pearloom.core.calls import SetUpRequest
from pearloom.core.outcomes import CallOutcome


@dataclass(frozen=True, slots=True)
class CallRoute:
    """A call's way: the version of the rules that it arrived under, and what they say of it."""

    version: str
    route: api.Route | None
    mark: int = 0  # whatever the host keeps with a call from its arrival


class Router(Protocol):
    """Asked once for each call, at its arrival; nothing of it may wait."""

    def route_for(self, offer: SetUpRequest) -> CallRoute:
        """The way that the rules of this moment give this call."""

    def record_outcome(self, way: CallRoute, kind: int, end: CallOutcome, took_ms: float) -> None:
        """One end of a call that arrived under these rules; `took_ms` from its arrival."""
