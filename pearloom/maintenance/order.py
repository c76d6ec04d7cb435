"""Whose turn is next, and why each other one waits. A decision: no I/O, everything it rests on passed in.

| what waits | goes before |
| --- | --- |
| an urgent turn | every turn that is not |
| a turn in another zone than the last granted | one of that zone, of the same urgency |
| the turn asked for first | the others of the same urgency and zone order |

A turn that may not begin (limits, floor) holds up the others of its zone, not those of other zones: otherwise
one machine that can't be spared would hold up all. None begins while any zone is in trouble (`outages.py`).
An urgent one that may not begin holds up all that are not urgent, since each of them would take the room that
it waits for.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from pearloom.maintenance.records import MachineKind, Phase, Slot, Slots, StoredSlot


class WaitReason(Enum):
    """Why a turn does not begin."""

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
    """One machine as this softswitch sees it. `capacity` in any unit that is one for all of its kind."""

    kind: MachineKind
    name: str
    zone: str
    cell: str = ""
    is_ready: bool = True
    capacity: float = 1.0
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class Fleet:
    """All that the order rests on beside the turns themselves."""

    machines: tuple[Machine, ...]
    is_fresh: bool = True  # what was read of the store is young enough to begin something on
    zones_with_outage: frozenset[str] = frozenset()  # zones
    has_recent_halt: bool = False  # a rollout has just halted
    load: float = 0.0  # set-ups that are out, in the unit of the capacities; 0 where those are of another

    def find(self, kind: MachineKind, name: str) -> Machine | None:
        """The machine of this name."""
        return next((one for one in self.machines if one.kind is kind and one.name == name), None)


def machines_out(slots: Slots, fleet: Fleet) -> list[tuple[MachineKind, str, str, str]]:
    """All machines that are out, on their turn or not: kind, name, zone, cell; each once."""
    found = {
        (one.kind, one.name): (one.kind, one.name, one.zone, one.cell)
        for one in fleet.machines
        if not one.is_ready
    }
    for held in slots.slots:
        slot = held.slot
        if slot.is_out:
            found[slot.kind, slot.machine] = (slot.kind, slot.machine, slot.zone, slot.cell)
    return list(found.values())


class _Room:
    """What is out and what remains, counted once for all turns that wait."""

    def __init__(self, slots: Slots, fleet: Fleet) -> None:
        self._limits, self._trouble, self._load = slots.limits, fleet.zones_with_outage, fleet.load
        self._machines = {(one.kind, one.name): one for one in fleet.machines}
        gone = machines_out(slots, fleet)
        self._out = len(gone)
        self._zones = Counter(zone for _, _, zone, _ in gone)
        self._cells = Counter(cell for _, _, _, cell in gone)
        names = {(kind, name) for kind, name, _, _ in gone}
        self._whole, self._remains = (
            defaultdict[MachineKind, float](float),
            defaultdict[MachineKind, float](float),
        )
        for one in fleet.machines:
            self._whole[one.kind] += one.capacity
            self._remains[one.kind] += 0.0 if (one.kind, one.name) in names else one.capacity

    def forbids(self, slot: Slot) -> WaitReason | None:
        """What forbids this turn to begin by itself, whoever else waits."""
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
        if self._trouble:
            return WaitReason.ZONE_OUTAGE
        remains = self._remains[slot.kind] - machine.capacity
        # What is out now has to fit as well, however low the floor is set.
        if remains < max(limits.floor * self._whole[slot.kind], self._load):
            return WaitReason.FLOOR
        return None


def queue(slots: Slots) -> list[StoredSlot]:
    """Those that wait, in the order in which they are looked at."""
    last = slots.ledger.last_zone

    def place(held: StoredSlot) -> tuple[bool, bool, int, str]:
        slot = held.slot
        return not slot.urgent, bool(last) and slot.zone == last, slot.number, slot.id

    return sorted((held for held in slots.slots if held.slot.phase is Phase.WAITING), key=place)


def wait_reasons(slots: Slots, fleet: Fleet) -> list[tuple[StoredSlot, WaitReason | None]]:
    """The queue, and what each waits for; None: this one is next, and there is one such at most."""
    found: list[tuple[StoredSlot, WaitReason | None]] = []
    every, room = _everything(slots, fleet), _Room(slots, fleet)
    held_up: set[str] = set()
    urgent_waits = granted = False
    for held in queue(slots):
        reason = every or room.forbids(held.slot)
        if reason is None and (
            granted or held.slot.zone in held_up or (urgent_waits and not held.slot.urgent)
        ):
            reason = WaitReason.BEHIND
        if reason is None:
            granted = True
        elif reason not in (WaitReason.UNKNOWN, WaitReason.AWAY):
            held_up.add(held.slot.zone)
            urgent_waits |= held.slot.urgent
        found.append((held, reason))
    return found


def _everything(slots: Slots, fleet: Fleet) -> WaitReason | None:
    """What forbids every turn to begin."""
    checks: Sequence[tuple[Callable[[], bool], WaitReason]] = (
        (lambda: not fleet.is_fresh, WaitReason.STALE),
        (lambda: bool(slots.unreadable), WaitReason.UNREADABLE),
        (lambda: fleet.has_recent_halt, WaitReason.HALTED),
    )
    return next((wait for holds, wait in checks if holds()), None)
