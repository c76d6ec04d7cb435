"""The pool view: the coordinator's list with withheld servers shown as draining."""

from __future__ import annotations

from collections.abc import Sequence

from hypothesis import given
from hypothesis import strategies as st

from pearloom.core.config import Server
from pearloom.interface import ListKind, PoolEntry, PoolState
from pearloom.servers.discovery import PoolView

NAMES = ("s-00000001", "s-00000002", "s-00000003")


class Listener:
    """Applies the events that a pool view passes on, and counts them."""

    def __init__(self) -> None:
        self.states: dict[str, PoolState] = {}
        self.count = 0
        self.view = PoolView(self.apply)

    def apply(self, kind: ListKind, servers: Sequence[Server]) -> None:
        self.count += 1
        if kind is not ListKind.CHANGES:
            self.states.clear()
        self.states |= {server.entry.server: server.entry.state for server in servers}


def server(name: str, state: PoolState = PoolState.READY) -> Server:
    return Server(PoolEntry(name, int(name[-1]), state), ("127.0.0.1", 1))


def test_a_withheld_server_drains_and_becomes_ready_again() -> None:
    listener = Listener()
    listener.view.apply_event(ListKind.COMPLETE, [server(name) for name in NAMES])
    listener.view.withhold([NAMES[0], "s-ffffffff"])
    assert listener.states[NAMES[0]] is PoolState.DRAINING and listener.states[NAMES[1]] is PoolState.READY
    listener.view.withhold([NAMES[0]])
    assert listener.count == 2, "an unchanged list is not passed on"
    listener.view.withhold([])
    assert listener.states[NAMES[0]] is PoolState.READY


def test_no_event_of_the_list_makes_a_withheld_server_ready() -> None:
    listener = Listener()
    listener.view.withhold([NAMES[0]])
    for kind in (ListKind.CACHED, ListKind.CHANGES, ListKind.COMPLETE):
        listener.view.apply_event(kind, [server(NAMES[0])])
        assert listener.states[NAMES[0]] is PoolState.DRAINING
    listener.view.apply_event(ListKind.CHANGES, [server(NAMES[0], PoolState.GONE)])
    assert listener.states[NAMES[0]] is PoolState.GONE
    listener.view.withhold([])
    assert listener.states[NAMES[0]] is PoolState.GONE, "a server that is gone stays gone"


_EVENT = st.one_of(
    st.frozensets(st.sampled_from(NAMES)),
    st.tuples(
        st.sampled_from([ListKind.CHANGES, ListKind.COMPLETE]),
        st.lists(st.tuples(st.sampled_from(NAMES), st.sampled_from(list(PoolState))), max_size=3),
    ),
)


@given(st.lists(_EVENT, max_size=20))
def test_a_withheld_server_never_appears_ready(
    events: Sequence[frozenset[str] | tuple[ListKind, list[tuple[str, PoolState]]]],
) -> None:
    listener = Listener()
    for event in events:
        if isinstance(event, frozenset):
            listener.view.withhold(event)
        else:
            kind, states = event
            listener.view.apply_event(kind, [server(name, state) for name, state in states])
        ready = {name for name, state in listener.states.items() if state is PoolState.READY}
        assert not ready & listener.view.withheld
        assert ready | listener.view.withheld >= {
            name for name, listed in listener.view.listed.items() if listed.entry.state is PoolState.READY
        }
