"""The calls that stand, by the server at which they do."""

from __future__ import annotations

from collections.abc import Iterator

from pearloom.core.calls import Call, Caller


class EstablishedCalls:
    """Holds each call from when it stands until it is over; its owner, the exchange, puts and drops."""

    def __init__(self) -> None:
        """No call stands."""
        self._by_server: dict[str, dict[str, Call]] = {}

    def __len__(self) -> int:
        """Calls that stand."""
        return sum(len(calls) for calls in self._by_server.values())

    def put(self, call: Call) -> None:
        """It stands at its server from now on."""
        self._by_server.setdefault(call.server, {})[call.request.call] = call

    def drop(self, call: Call) -> None:
        """It is over."""
        self._by_server[call.server].pop(call.request.call, None)

    def at(self, server: str) -> dict[str, Call]:
        """Those at this server."""
        return self._by_server.get(server, {})

    def listed(self) -> Iterator[tuple[str, str, str, float]]:
        """Each call that stands: its id, its server, the number called, since when."""
        for server, calls in self._by_server.items():
            for name, call in calls.items():
                yield name, server, call.request.number, call.stood_ms

    def callers(self) -> Iterator[Caller]:
        """Who brought them, at each server the youngest call first."""
        for calls in self._by_server.values():
            for call in reversed(calls.values()):
                yield call.caller
