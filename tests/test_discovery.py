"""The pool list with what is withheld from it for work."""

from __future__ import annotations

from collections.abc import Sequence

from hypothesis import given
from hypothesis import strategies as st

from pearloom.core.config import Server
from pearloom.interface import ListKind, PoolEntry, PoolState
from pearloom.servers.discovery import PoolView

NAMES = ("s-00000001", "s-00000002", "s-00000003")


class Told:
    """What whoever goes by the list was told, in order."""

    def __init__(self) -> None:
        self.states: dict[str, PoolState] = {}
        self.count = 0
        self.listing = PoolView(self.take)

    def take(self, kind: ListKind, servers: Sequence[Server]) -> None:
        self.count += 1
        if kind is not ListKind.CHANGES:
            self.states.clear()
        self.states |= {one.entry.server: one.entry.state for one in servers}


def server(name: str, state: PoolState = PoolState.READY) -> Server:
    return Server(PoolEntry(name, int(name[-1]), state), ("127.0.0.1", 1))


def test_what_is_withheld_drains_and_comes_back() -> None:
    told = Told()
    told.listing.apply_event(ListKind.COMPLETE, [server(name) for name in NAMES])
    told.listing.withhold([NAMES[0], "s-ffffffff"])
    assert told.states[NAMES[0]] is PoolState.DRAINING and told.states[NAMES[1]] is PoolState.READY
    told.listing.withhold([NAMES[0]])
    assert told.count == 2, "nothing changed, so nobody is told"
    told.listing.withhold([])
    assert told.states[NAMES[0]] is PoolState.READY


def test_no_event_of_the_list_brings_back_what_is_withheld() -> None:
    told = Told()
    told.listing.withhold([NAMES[0]])
    for kind in (ListKind.CACHED, ListKind.CHANGES, ListKind.COMPLETE):
        told.listing.apply_event(kind, [server(NAMES[0])])
        assert told.states[NAMES[0]] is PoolState.DRAINING
    told.listing.apply_event(ListKind.CHANGES, [server(NAMES[0], PoolState.GONE)])
    assert told.states[NAMES[0]] is PoolState.GONE
    told.listing.withhold([])
    assert told.states[NAMES[0]] is PoolState.GONE, "one that is gone does not come back by it"


_EVENT = st.one_of(
    st.frozensets(st.sampled_from(NAMES)),
    st.tuples(
        st.sampled_from([ListKind.CHANGES, ListKind.COMPLETE]),
        st.lists(st.tuples(st.sampled_from(NAMES), st.sampled_from(list(PoolState))), max_size=3),
    ),
)


@given(st.lists(_EVENT, max_size=20))
def test_nobody_ever_sees_ready_what_is_withheld(
    events: Sequence[frozenset[str] | tuple[ListKind, list[tuple[str, PoolState]]]],
) -> None:
    told = Told()
    for event in events:
        if isinstance(event, frozenset):
            told.listing.withhold(event)
        else:
            kind, states = event
            told.listing.apply_event(kind, [server(name, state) for name, state in states])
        ready = {name for name, state in told.states.items() if state is PoolState.READY}
        assert not ready & told.listing.withheld
        assert ready | told.listing.withheld >= {
            name for name, one in told.listing.listed.items() if one.entry.state is PoolState.READY
        }
