"""What the store holds of turns: one key a turn, one key that every grant writes, the limits. Values only.

A turn is `turns/ID`; its key's mod revision is the number of the step it stands at, and every step compares
with it. `gate` is written by every grant, so that two softswitches that each see room for one turn more can't
both be right. `limits` holds the limits in force: of the operators' files the one with the highest edition.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from pearloom.coordination.port import Compare, Snapshot, Transaction, Write
from pearloom.coordination.values import decode_record

SLOTS_PREFIX, LEDGER_KEY, LIMITS_KEY = "turns/", "turns-gate", "turns-limits"
FORMAT = 1
MAX_SLOTS = 512  # that the queue holds: a request beyond is refused
MOST_NAME = 64


class MaintenanceError(ValueError):
    """A request that can't be taken; the text is one line for the operator."""


class MachineKind(Enum):
    """What is taken out."""

    SOFTSWITCH = "softswitch"
    SERVER = "server"


class Phase(Enum):
    """Where a turn stands. All but WAITING and DONE count as out."""

    WAITING = "waiting"
    GRANTED = "granted"  # its machine has to take it up
    DRAINING = "draining"
    OUT = "out"
    RETURNING = "returning"  # seen ready, given time to warm
    DONE = "done"


COUNTS_AS_OUT = frozenset({Phase.GRANTED, Phase.DRAINING, Phase.OUT, Phase.RETURNING})


class Slot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One machine's turn. `grant`: the machine's incarnation at the grant; another one is another life."""

    format: int
    id: str
    kind: MachineKind
    machine: str
    zone: str
    cell: str
    urgent: bool
    by: str  # the softswitch at which the operator asked
    reason: str
    number: int  # of the request, by the queue's own count: age without anybody's clock
    phase: Phase = Phase.WAITING
    grant: int = 0
    note: str = ""  # why it stands where it does, in one of the words of `steps`

    @property
    def key(self) -> str:
        """Its key in the store."""
        return SLOTS_PREFIX + self.id

    @property
    def is_out(self) -> bool:
        """Is its machine counted as out?"""
        return self.phase in COUNTS_AS_OUT


class SlotLedger(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What every step writes that changes how many are out: counts, and the turn and zone of the last.

    `last_turn` tells it from another one of the same counts: a store that lost its last writes gives their
    revisions again, and a step that was computed on what was lost must not pass."""

    format: int = FORMAT
    grants: int = 0
    requests: int = 0
    last_zone: str = ""
    freed: int = 0  # turns that are out no more
    last_slot: str = ""


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How much may be out at once, and how long each phase may take (ms). A higher `edition` goes before."""

    format: int = FORMAT
    edition: int = 0
    out: int = 1  # machines in all, for whatever reason they are out
    out_zone: int = 1
    out_cell: int = 1  # of the servers that replace each other
    floor: float = 0.5  # share of the fleet's capacity that has to remain
    take_up_ms: float = 10_000.0
    drain_ms: float = 60_000.0
    settle_ms: float = 15_000.0


@dataclass(frozen=True, slots=True)
class StoredSlot:
    """A turn as it is in the store, and the revision and value that the next step compares with."""

    slot: Slot
    mod_revision: int
    value: bytes

    @property
    def compare(self) -> Compare:
        """It is still what was read."""
        return Compare(self.slot.key, self.mod_revision, self.value)


@dataclass(frozen=True, slots=True)
class Slots:
    """All that the store holds of turns."""

    slots: tuple[StoredSlot, ...] = ()
    ledger: SlotLedger = field(default_factory=SlotLedger)
    ledger_revision: int = 0
    limits: Limits = field(default_factory=Limits)
    limits_revision: int = 0
    ledger_value: bytes | None = None
    limits_value: bytes | None = None
    unreadable: tuple[str, ...] = ()  # keys whose value is spoilt or of a newer format

    @property
    def ledger_compare(self) -> Compare:
        """Nothing has been granted, asked for or freed since this was read."""
        return Compare(LEDGER_KEY, self.ledger_revision, self.ledger_value)

    @property
    def limits_compare(self) -> Compare:
        """The limits are those that were read."""
        return Compare(LIMITS_KEY, self.limits_revision, self.limits_value)

    def find(self, slot: str) -> StoredSlot | None:
        """The turn of this id."""
        return next((held for held in self.slots if held.slot.id == slot), None)


def read_slots(snapshot: Snapshot) -> Slots:
    """Read all; what can't be read is named, and no turn is granted while there is any of it."""
    slots, unreadable = [], []
    for entry in snapshot.with_prefix(SLOTS_PREFIX):
        slot = decode_record(entry.value, Slot, FORMAT)
        if slot is None or slot.key != entry.key:
            unreadable.append(entry.key)
        else:
            slots.append(StoredSlot(slot, entry.mod_revision, entry.value))
    gate_entry, limits_entry = snapshot.find(LEDGER_KEY), snapshot.find(LIMITS_KEY)
    gate = decode_record(gate_entry.value, SlotLedger, FORMAT) if gate_entry else SlotLedger()
    limits = decode_record(limits_entry.value, Limits, FORMAT) if limits_entry else Limits()
    unreadable += [key for key, found in ((LEDGER_KEY, gate), (LIMITS_KEY, limits)) if found is None]
    return Slots(
        tuple(slots),
        gate or SlotLedger(),
        gate_entry.mod_revision if gate_entry else 0,
        limits or Limits(out=0),
        limits_entry.mod_revision if limits_entry else 0,
        gate_entry.value if gate_entry else None,
        limits_entry.value if limits_entry else None,
        tuple(unreadable),
    )


def encode(value: Slot | SlotLedger | Limits) -> bytes:
    """As it is put into the store."""
    return msgspec.json.encode(value)


def slot_change(held: StoredSlot, **changes: object) -> tuple[Compare, Write]:
    """The parts of a step that change one turn."""
    slot = msgspec.structs.replace(held.slot, **changes)
    return held.compare, Write(held.slot.key, encode(slot))


def request_slots(there: Slots, asked: list[Slot]) -> Transaction:
    """Put these into the queue, in this order; a TurnError says what is wrong with them.

    The gate gives each its number, so that two operators at two softswitches get one order."""
    if there.unreadable:
        raise MaintenanceError(
            f"{there.unreadable[0]} in the store can't be read: nothing is begun until it can"
        )
    open_slots = [held.slot for held in there.slots if held.slot.phase is not Phase.DONE]
    if len(open_slots) + len(asked) > MAX_SLOTS:
        raise MaintenanceError(f"the queue holds {len(open_slots)} of {MAX_SLOTS} turns: it is full")
    names = [(slot.kind, slot.machine) for slot in asked]
    if len(set(names)) < len(names):
        raise MaintenanceError("a machine is named twice")
    for slot in open_slots:
        if (slot.kind, slot.machine) in names:
            raise MaintenanceError(f"{slot.machine} has turn {slot.id} already, which is {slot.phase.value}")
    gate = msgspec.structs.replace(there.ledger, requests=there.ledger.requests + len(asked))
    compares, writes = [there.ledger_compare], [Write(LEDGER_KEY, encode(gate))]
    for number, slot in enumerate(asked, there.ledger.requests + 1):
        if not 0 < len(slot.machine) <= MOST_NAME:
            raise MaintenanceError(f"a machine's name has 1 to {MOST_NAME} signs")
        compares.append(Compare(slot.key, 0))
        writes.append(Write(slot.key, encode(msgspec.structs.replace(slot, number=number))))
    return Transaction(tuple(compares), tuple(writes))


def adopt_limits(there: Slots, own: Limits) -> Transaction | None:
    """Put the own file's limits into the store, if they are of a higher edition than what is there."""
    if there.limits_revision and own.edition <= there.limits.edition or LIMITS_KEY in there.unreadable:
        return None
    return Transaction((there.limits_compare,), (Write(LIMITS_KEY, encode(own)),))
