"""Zones with an outage, from the machines that are away."""

from __future__ import annotations

import pytest

from pearloom.maintenance import records
from pearloom.maintenance.order import Machine
from pearloom.maintenance.outages import zones_with_outage
from pearloom.maintenance.records import FORMAT, MachineKind, Phase, Slot, Slots, StoredSlot


def zone(name: str, ready_count: int, away_count: int) -> list[Machine]:
    return [
        Machine(MachineKind.SERVER, f"{name}{number}", name, is_ready=number >= away_count, incarnation=1)
        for number in range(ready_count + away_count)
    ]


def stored_slot(machine: str, phase: Phase) -> StoredSlot:
    slot = Slot(FORMAT, machine, MachineKind.SERVER, machine, "a", "", False, "n1", "", 1, phase, 1)
    return StoredSlot(slot, 5, records.encode(slot))


@pytest.mark.parametrize(
    ("machines", "slots", "expected"),
    [
        (zone("a", 4, 0), (), set()),
        (zone("a", 4, 1), (), set()),  # a single failure
        (zone("a", 1, 1), (), set()),  # half of the zone, but a single failure
        (zone("a", 6, 2), (), {"a"}),  # a quarter of the zone
        (zone("a", 7, 2), (), set()),
        (zone("a", 0, 3) + zone("b", 3, 0), (), {"a"}),  # the whole zone
        (zone("a", 2, 2) + zone("b", 2, 2), (), {"a", "b"}),
        (zone("a", 2, 2), (stored_slot("a0", Phase.OUT),), set()),  # one of them is in its slot
        (zone("a", 2, 2), (stored_slot("a0", Phase.DONE),), {"a"}),
        (zone("a", 2, 2), (stored_slot("a0", Phase.WAITING),), {"a"}),
        (zone("", 2, 2), (), set()),  # no zone is given
    ],
)
def test_zones_with_outage(
    machines: list[Machine], slots: tuple[StoredSlot, ...], expected: set[str]
) -> None:
    assert zones_with_outage(machines, Slots(slots)) == expected
