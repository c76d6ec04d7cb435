"""The established calls, by the server at which they are established."""

from __future__ import annotations

from collections.abc import Iterator

from pearloom.core.calls import Call, Caller


class EstablishedCalls:
    """Indexes the established calls by server; the exchange adds and removes them."""

    def __init__(self) -> None:
        """Start empty."""
        self._by_server: dict[str, dict[str, Call]] = {}

    def __len__(self) -> int:
        """Return the number of established calls."""
        return sum(len(calls) for calls in self._by_server.values())

    def add(self, call: Call) -> None:
        """Add a call at its server."""
        self._by_server.setdefault(call.server, {})[call.request.call] = call

    def remove(self, call: Call) -> None:
        """Remove a call that has ended."""
        self._by_server[call.server].pop(call.request.call, None)

    def move(self, server: str, successor: str, since_ms: float) -> int:
        """Move the calls established at a server since then to another one; return their number."""
        moved = [call for call in self.at(server).values() if call.established_ms >= since_ms]
        for call in moved:
            self.remove(call)
            call.server = successor
            self.add(call)
        return len(moved)

    def at(self, server: str) -> dict[str, Call]:
        """Return the calls at this server, by id."""
        return self._by_server.get(server, {})

    def since_ms(self, server: str, call_id: str) -> float | None:
        """Return when this call was established at this server (Unix ms), or None if it is not."""
        call = self.at(server).get(call_id)
        return None if call is None else call.established_ms

    def entries(self) -> Iterator[tuple[str, str, str, float]]:
        """Yield the id, server, called number and time of answer (Unix ms) of each call."""
        for server, calls in self._by_server.items():
            for call_id, call in calls.items():
                yield call_id, server, call.request.number, call.established_ms

    def callers(self) -> Iterator[Caller]:
        """Yield the caller of each call, at each server the newest call first."""
        for calls in self._by_server.values():
            for call in reversed(calls.values()):
                yield call.caller
