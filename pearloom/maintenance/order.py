"""Which waiting slot is granted next, and why each other slot waits. No I/O: all inputs are passed in.

| waiting slot | is granted before |
| --- | --- |
| an urgent slot | every slot that is not urgent |
| a slot in another zone than the last granted one | one of that zone, of the same urgency |
| the slot requested first | the others of the same urgency and zone order |

A slot that may not begin (limits, floor) blocks the others of its zone, but not those of other zones:
otherwise one machine that can't be spared would block the whole queue. No slot begins while any zone has an
outage (`outages.py`). An urgent slot that may not begin blocks all that are not urgent, since each of them
would take the room that it waits for.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from pearloom.maintenance.records import MachineKind, Phase, Slot, Slots, StoredSlot


class WaitReason(Enum):
    """Why a slot is not granted."""

    BEHIND = "behind another turn"
    STALE = "the store was not read lately"
    UNREADABLE = "a value in the store can't be read"
    ZONE_OUTAGE = "a zone is in trouble"
    HALTED = "a rollout has just halted"
    ALL = "as many machines are out as may be"
    ZONE = "as many machines of its zone are out as may be"
    CELL = "as many servers of its cell are out as may be"
    FLOOR = "too little capacity would remain"
    UNKNOWN = "nobody knows this machine"
    AWAY = "the machine is away already"


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine as this softswitch sees it; `capacity` is in a unit common to all machines of its kind."""

    kind: MachineKind
    name: str
    zone: str
    cell: str = ""
    is_ready: bool = True
    capacity: float = 1.0
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class Fleet:
    """State of the fleet on which the order depends, beside the slots."""

    machines: tuple[Machine, ...]
    is_fresh: bool = True  # the store was read recently enough to begin something
    zones_with_outage: frozenset[str] = frozenset()
    has_recent_halt: bool = False  # a rollout has halted recently
    load: float = 0.0  # unanswered set-ups, in the unit of the capacities; 0 if those have another unit

    def find(self, kind: MachineKind, name: str) -> Machine | None:
        """The machine of this kind and name, or None."""
        return next(
            (machine for machine in self.machines if machine.kind is kind and machine.name == name), None
        )


def machines_out(slots: Slots, fleet: Fleet) -> list[tuple[MachineKind, str, str, str]]:
    """Kind, name, zone and cell of each machine that is out, in a slot or not; each once."""
    found = {
        (machine.kind, machine.name): (machine.kind, machine.name, machine.zone, machine.cell)
        for machine in fleet.machines
        if not machine.is_ready
    }
    for stored in slots.slots:
        slot = stored.slot
        if slot.is_out:
            found[slot.kind, slot.machine] = (slot.kind, slot.machine, slot.zone, slot.cell)
    return list(found.values())


class _Occupancy:
    """Machines that are out and capacity that remains, counted once for all waiting slots."""

    def __init__(self, slots: Slots, fleet: Fleet) -> None:
        self._limits, self._zones_with_outage, self._load = slots.limits, fleet.zones_with_outage, fleet.load
        self._machines = {(machine.kind, machine.name): machine for machine in fleet.machines}
        machines = machines_out(slots, fleet)
        self._out = len(machines)
        self._zones = Counter(zone for _, _, zone, _ in machines)
        self._cells = Counter(cell for _, _, _, cell in machines)
        names = {(kind, name) for kind, name, _, _ in machines}
        self._total, self._remaining = (
            defaultdict[MachineKind, float](float),
            defaultdict[MachineKind, float](float),
        )
        for machine in fleet.machines:
            self._total[machine.kind] += machine.capacity
            self._remaining[machine.kind] += (
                0.0 if (machine.kind, machine.name) in names else machine.capacity
            )

    def blocking_reason(self, slot: Slot) -> WaitReason | None:
        """Why this slot may not begin, whatever other slots wait; None if it may."""
        limits, machine = self._limits, self._machines.get((slot.kind, slot.machine))
        if machine is None:
            return WaitReason.UNKNOWN
        if not machine.is_ready:
            return WaitReason.AWAY
        if self._out >= limits.out:
            return WaitReason.ALL
        if self._zones[slot.zone] >= limits.out_zone:
            return WaitReason.ZONE
        if slot.cell and self._cells[slot.cell] >= limits.out_cell:
            return WaitReason.CELL
        if self._zones_with_outage:
            return WaitReason.ZONE_OUTAGE
        remaining = self._remaining[slot.kind] - machine.capacity
        # The outstanding set-ups have to fit as well, however low the floor is set.
        if remaining < max(limits.floor * self._total[slot.kind], self._load):
            return WaitReason.FLOOR
        return None


def queue(slots: Slots) -> list[StoredSlot]:
    """The waiting slots, in the order in which they are considered."""
    last_zone = slots.ledger.last_zone

    def sort_key(stored: StoredSlot) -> tuple[bool, bool, int, str]:
        slot = stored.slot
        return not slot.urgent, bool(last_zone) and slot.zone == last_zone, slot.number, slot.id

    return sorted((stored for stored in slots.slots if stored.slot.phase is Phase.WAITING), key=sort_key)


def wait_reasons(slots: Slots, fleet: Fleet) -> list[tuple[StoredSlot, WaitReason | None]]:
    """The queue with the reason for which each slot waits; None: the slot is next, one at most."""
    reasons: list[tuple[StoredSlot, WaitReason | None]] = []
    common_reason, occupancy = _common_reason(slots, fleet), _Occupancy(slots, fleet)
    blocked_zones: set[str] = set()
    is_urgent_waiting = has_next = False
    for stored in queue(slots):
        reason = common_reason or occupancy.blocking_reason(stored.slot)
        if reason is None and (
            has_next or stored.slot.zone in blocked_zones or (is_urgent_waiting and not stored.slot.urgent)
        ):
            reason = WaitReason.BEHIND
        if reason is None:
            has_next = True
        elif reason not in (WaitReason.UNKNOWN, WaitReason.AWAY):
            blocked_zones.add(stored.slot.zone)
            is_urgent_waiting |= stored.slot.urgent
        reasons.append((stored, reason))
    return reasons


def _common_reason(slots: Slots, fleet: Fleet) -> WaitReason | None:
    """Why no slot at all may begin; None if slots may."""
    checks: Sequence[tuple[Callable[[], bool], WaitReason]] = (
        (lambda: not fleet.is_fresh, WaitReason.STALE),
        (lambda: bool(slots.unreadable), WaitReason.UNREADABLE),
        (lambda: fleet.has_recent_halt, WaitReason.HALTED),
    )
    return next((reason for applies, reason in checks if applies()), None)
