"""What has changed at the previous process of an upgrade, for the next one."""

from __future__ import annotations

from typing import TypeVar

from pearloom.admin.handover_channel import Message
from pearloom.binary.callers import Callers
from pearloom.core.exchange import Exchange
from pearloom.servers.contact import Heard
from pearloom.servers.directory import Directory

CALLS_PER_MESSAGE = 500
T = TypeVar("T")


class ChangeReport:
    """Collects the changes since the last report; the first one has all calls and ids."""

    def __init__(self, exchange: Exchange, callers: Callers, servers: Directory) -> None:
        """Start as if nothing but the last messages of the servers had been reported."""
        self._exchange, self._callers, self._servers = exchange, callers, servers
        self._established: set[str] = set()
        self._open_ids: set[str] = set()
        self._connections = -1
        self._ended_position = 0
        self._heard = self._messages_heard()

    def _messages_heard(self) -> dict[str, Heard]:
        return {name: tracker.heard for name, tracker in self._servers.contact_trackers().items()}

    def collect(self) -> list[Message]:
        """Return what has changed since the last call."""
        messages = [*self._established_changes(), *self._ended_ids()]
        open_ids = self._exchange.open_ids()
        if open_ids != self._open_ids:
            messages.append({"say": "open", "calls": sorted(open_ids)})
            self._open_ids = open_ids
        connections = self._callers.connections
        if connections != self._connections:
            messages.append({"say": "held", "connections": connections})
            self._connections = connections
        heard = self._messages_heard()
        if news := {name: last for name, last in heard.items() if self._heard.get(name) != last}:
            fields = {name: [last.at_ms, last.known_since_ms] for name, last in news.items()}
            messages.append({"say": "heard", "servers": fields})
            self._heard = heard
        return messages

    def _established_changes(self) -> list[Message]:
        now = {call: rest for call, *rest in self._exchange.established.entries()}
        begun = [[call, *now[call]] for call in now if call not in self._established]
        ended = [call for call in self._established if call not in now]
        self._established = set(now)
        messages: list[Message] = [{"say": "stands", "calls": calls} for calls in _portions(begun)]
        return [*messages, {"say": "over", "calls": ended}] if ended else messages

    def _ended_ids(self) -> list[Message]:
        """Report the ids that must not run again: those of calls that were sent to a server and are over."""
        ids, self._ended_position = self._exchange.finished.attempted_since(self._ended_position)
        return [{"say": "ended", "calls": calls} for calls in _portions(ids)]


def _portions(items: list[T]) -> list[list[T]]:
    return [items[at : at + CALLS_PER_MESSAGE] for at in range(0, len(items), CALLS_PER_MESSAGE)]
