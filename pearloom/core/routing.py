"""The exchange's interface to the host of the routing rules.

The host gives each call its route and receives the call's outcome. Without a host, the decision module alone
chooses the route of every call. Data types and a protocol only.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from pearloom import interface as api
from pearloom.core.calls import SetUpRequest
from pearloom.core.outcomes import CallOutcome


@dataclass(frozen=True, slots=True)
class CallRoute:
    """A call's route: the version of the rules in force at its arrival, and the route that they give it."""

    version: str
    route: api.Route | None
    mark: int = 0  # stored by the host with each call at its arrival


class Router(Protocol):
    """Called for each call at its arrival and with its outcomes; the methods must not block."""

    def route_for(self, request: SetUpRequest) -> CallRoute:
        """Return the route that the rules in force give this call."""

    def record_outcome(
        self, call_route: CallRoute, class_index: int, outcome: CallOutcome, took_ms: float
    ) -> None:
        """Record an outcome of a call with this route; `took_ms` counts from the call's arrival."""
