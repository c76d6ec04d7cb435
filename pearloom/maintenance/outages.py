"""Detects zones with an outage: more of their machines are away than a single failure explains. No I/O.

Guards against maintenance that begins while a zone is lost or cut off: the other zones carry its load, and
none of their machines can be spared.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from pearloom.maintenance.order import Machine
from pearloom.maintenance.records import Slots

MIN_AWAY = 2  # machines of a zone; one alone is a single failure
MIN_SHARE_AWAY = 0.25  # of the zone's machines


def zones_with_outage(machines: Iterable[Machine], slots: Slots) -> frozenset[str]:
    """The zones of which so many machines are away without a slot; the zone `""` is no zone."""
    in_slot = {(stored.slot.kind, stored.slot.machine) for stored in slots.slots if stored.slot.is_out}
    total, away = Counter[str](), Counter[str]()
    for machine in machines:
        total[machine.zone] += 1
        away[machine.zone] += not machine.is_ready and (machine.kind, machine.name) not in in_slot
    return frozenset(
        zone for zone, count in away.items() if zone and count >= max(MIN_AWAY, MIN_SHARE_AWAY * total[zone])
    )
