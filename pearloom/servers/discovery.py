"""What the coordinator lists, less what is withheld from new set-ups for work on it.

Guards against a server that operators took out and that the next change of the list, or the whole list after
a reconnect, brings back: what is withheld is laid over every event before anyone hears of it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace

from pearloom import interface as api
from pearloom.core.config import Server

Told = Callable[[api.ListKind, Sequence[Server]], None]


def apply_withholding(server: Server, withheld: frozenset[str]) -> Server:
    """The server as all others here are to see it: one that is withheld drains, whatever the list says."""
    if server.entry.server not in withheld or server.entry.state is not api.PoolState.READY:
        return server
    return replace(server, entry=replace(server.entry, state=api.PoolState.DRAINING))


class PoolView:
    """Stands between whoever reads the list and whoever goes by it."""

    def __init__(self, tell: Told) -> None:
        """Nothing is listed, and nothing withheld."""
        self._tell = tell
        self._listed: dict[str, Server] = {}
        self.withheld: frozenset[str] = frozenset()
        self.on_list_event: list[Callable[[], None]] = []  # called after each event

    @property
    def listed(self) -> Mapping[str, Server]:
        """Every server that is listed and not gone, as the coordinator told of it."""
        return self._listed

    def apply_event(self, kind: api.ListKind, servers: Sequence[Server]) -> None:
        """An event of the list."""
        if kind is not api.ListKind.CHANGES:
            self._listed = {}
        for server in servers:
            if server.entry.state is api.PoolState.GONE:
                self._listed.pop(server.entry.server, None)
            else:
                self._listed[server.entry.server] = server
        self._tell(kind, [apply_withholding(server, self.withheld) for server in servers])
        for heard in self.on_list_event:
            heard()

    def withhold(self, servers: Iterable[str]) -> None:
        """These, and no others, are withheld from now on."""
        before, self.withheld = self.withheld, frozenset(servers)
        changed = [self._listed[name] for name in sorted(before ^ self.withheld) if name in self._listed]
        if changed:
            self._tell(api.ListKind.CHANGES, [apply_withholding(server, self.withheld) for server in changed])
