"""Zones in trouble, cell by cell."""

from __future__ import annotations

import pytest

from pearloom.maintenance import records
from pearloom.maintenance.order import Machine
from pearloom.maintenance.outages import zones_with_outage
from pearloom.maintenance.records import FORMAT, MachineKind, Phase, Slot, Slots, StoredSlot


def zone(name: str, ready: int, away: int) -> list[Machine]:
    return [
        Machine(MachineKind.SERVER, f"{name}{at}", name, is_ready=at >= away, incarnation=1)
        for at in range(ready + away)
    ]


def on_turn(machine: str, phase: Phase) -> StoredSlot:
    slot = Slot(FORMAT, machine, MachineKind.SERVER, machine, "a", "", False, "n1", "", 1, phase, 1)
    return StoredSlot(slot, 5, records.encode(slot))


@pytest.mark.parametrize(
    ("machines", "slots", "found"),
    [
        (zone("a", 4, 0), (), set()),
        (zone("a", 4, 1), (), set()),  # one failure
        (zone("a", 1, 1), (), set()),  # half of it, and still one
        (zone("a", 6, 2), (), {"a"}),  # a quarter
        (zone("a", 7, 2), (), set()),
        (zone("a", 0, 3) + zone("b", 3, 0), (), {"a"}),  # the whole zone
        (zone("a", 2, 2) + zone("b", 2, 2), (), {"a", "b"}),
        (zone("a", 2, 2), (on_turn("a0", Phase.OUT),), set()),  # one of them is on its turn
        (zone("a", 2, 2), (on_turn("a0", Phase.DONE),), {"a"}),
        (zone("a", 2, 2), (on_turn("a0", Phase.WAITING),), {"a"}),
        (zone("", 2, 2), (), set()),  # where zones are not told
    ],
)
def test_zones_in_trouble(machines: list[Machine], slots: tuple[StoredSlot, ...], found: set[str]) -> None:
    assert zones_with_outage(machines, Slots(slots)) == found
