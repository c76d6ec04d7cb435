"""The pool list as this softswitch uses it: the coordinator's list, with servers in maintenance draining.

Guards against a server that operators took out of service and that the next change of the list, or the whole
list after a reconnect, puts back: withholding is applied to every event before it is passed on.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace

from pearloom import interface as api
from pearloom.core.config import Server

OnListEvent = Callable[[api.ListKind, Sequence[Server]], None]


def apply_withholding(server: Server, withheld: frozenset[str]) -> Server:
    """Return the server as the rest of the program sees it: draining if it is ready and withheld."""
    if server.entry.server not in withheld or server.entry.state is not api.PoolState.READY:
        return server
    return replace(server, entry=replace(server.entry, state=api.PoolState.DRAINING))


class PoolView:
    """Keeps the pool list and passes on its events with withholding applied."""

    def __init__(self, on_change: OnListEvent) -> None:
        """Start with an empty list and nothing withheld; `on_change` gets each event of the result."""
        self._on_change = on_change
        self._listed: dict[str, Server] = {}
        self.withheld: frozenset[str] = frozenset()
        self.on_list_event: list[Callable[[], None]] = []  # called after each event of the coordinator

    @property
    def listed(self) -> Mapping[str, Server]:
        """Every server that is listed and not gone, by id, as the coordinator lists it."""
        return self._listed

    def apply_event(self, kind: api.ListKind, servers: Sequence[Server]) -> None:
        """Apply an event of the coordinator's list."""
        if kind is not api.ListKind.CHANGES:
            self._listed = {}
        for server in servers:
            if server.entry.state is api.PoolState.GONE:
                self._listed.pop(server.entry.server, None)
            else:
                self._listed[server.entry.server] = server
        self._on_change(kind, [apply_withholding(server, self.withheld) for server in servers])
        for callback in self.on_list_event:
            callback()

    def withhold(self, servers: Iterable[str]) -> None:
        """Withhold exactly these servers from new set-ups from now on."""
        previous, self.withheld = self.withheld, frozenset(servers)
        changed = [self._listed[name] for name in sorted(previous ^ self.withheld) if name in self._listed]
        if changed:
            self._on_change(
                api.ListKind.CHANGES, [apply_withholding(server, self.withheld) for server in changed]
            )
