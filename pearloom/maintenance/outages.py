"""Which zones are in trouble: more of their machines are away than one failure explains. A decision: no I/O.

Guards against work begun while a zone is lost or cut off: the others carry its load, and no machine of theirs
can be spared.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from pearloom.maintenance.order import Machine
from pearloom.maintenance.records import Slots

LEAST_AWAY = 2  # machines of a zone: one alone is a failure of its own
SHARE_AWAY = 0.25  # of the zone's machines


def zones_with_outage(machines: Iterable[Machine], slots: Slots) -> frozenset[str]:
    """The zones of which so many machines are away without a turn of their own; `""` stands for no zone."""
    on_turn = {(held.slot.kind, held.slot.machine) for held in slots.slots if held.slot.is_out}
    whole, away = Counter[str](), Counter[str]()
    for machine in machines:
        whole[machine.zone] += 1
        away[machine.zone] += not machine.is_ready and (machine.kind, machine.name) not in on_turn
    return frozenset(
        zone for zone, count in away.items() if zone and count >= max(LEAST_AWAY, SHARE_AWAY * whole[zone])
    )
