"""What a softswitch does at itself for its own maintenance slot."""

from __future__ import annotations

from unittest.mock import Mock

import pytest

from pearloom.maintenance import steps
from pearloom.maintenance.host import MaintenanceHost
from pearloom.maintenance.records import Limits, Phase, StoredSlot
from tests.maintenance.test_order import slot, slots

INCARNATION = 7


def own_slot(phase: Phase, note: str = "", grant: int = INCARNATION) -> StoredSlot:
    return slot(1, "n1", phase=phase, grant=grant, note=note)


@pytest.mark.parametrize(
    ("stored", "drains"),
    [
        (own_slot(Phase.GRANTED), False),
        (own_slot(Phase.DRAINING), True),
        (own_slot(Phase.OUT, "drained"), True),
        (own_slot(Phase.RETURNING), False),
        (own_slot(Phase.DRAINING, grant=INCARNATION - 1), False),  # of the process before
        # Guards against a softswitch that stays drained after it resumed, until another one ends its slot.
        (own_slot(Phase.OUT, steps.DIED_PREFIX + "turn"), False),
    ],
)
def test_a_softswitch_drains_only_while_its_own_slot_has_it_out(stored: StoredSlot, drains: bool) -> None:
    member, callbacks = Mock(), Mock()
    member.name, member.incarnation = "n1", INCARNATION
    host = MaintenanceHost(Mock(on_change=[]), member, Mock(), Limits(), callbacks, lambda: 0.0)
    host._apply_slots(slots(stored))
    assert callbacks.drain.called == drains
    host._apply_slots(slots())
    assert callbacks.activate.called == drains
