"""The stored records of maintenance slots: one key for each slot, a ledger and the limits. No I/O.

A slot has the key `turns/ID`; every step of a slot compares with the modification revision of that key.
Every grant writes the ledger, `turns-gate`, so that two softswitches that each see room for one more slot
can't both grant one. `turns-limits` holds the limits in force: those of the highest edition of all files.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from pearloom.coordination.port import Compare, Snapshot, Transaction, Write
from pearloom.coordination.values import decode_record

SLOTS_PREFIX, LEDGER_KEY, LIMITS_KEY = "turns/", "turns-gate", "turns-limits"
FORMAT = 1
MAX_SLOTS = 512  # in the queue; a request for more is refused
MAX_NAME_LENGTH = 64


class MaintenanceError(ValueError):
    """A request that is refused; the text is one line for the operator."""


class MachineKind(Enum):
    """Kinds of machines that maintenance takes out of service."""

    SOFTSWITCH = "softswitch"
    SERVER = "server"


class Phase(Enum):
    """Phase of a slot; in all phases but WAITING and DONE its machine counts as out of service."""

    WAITING = "waiting"
    GRANTED = "granted"  # the drain has not started yet
    DRAINING = "draining"
    OUT = "out"
    RETURNING = "returning"  # the machine is ready again and gets time to warm up
    DONE = "done"


COUNTS_AS_OUT = frozenset({Phase.GRANTED, Phase.DRAINING, Phase.OUT, Phase.RETURNING})


class Slot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One machine's slot; `grant` is the machine's incarnation at the grant, for which alone it holds."""

    format: int
    id: str
    kind: MachineKind
    machine: str
    zone: str
    cell: str
    urgent: bool
    by: str  # the softswitch that received the operator's request
    reason: str
    number: int  # of the request, counted in the ledger: the order of requests without a clock
    phase: Phase = Phase.WAITING
    grant: int = 0
    note: str = ""  # why it is in this phase, in the words of `steps`

    @property
    def key(self) -> str:
        """The slot's key in the store."""
        return SLOTS_PREFIX + self.id

    @property
    def is_out(self) -> bool:
        """Whether the machine counts as out of service."""
        return self.phase in COUNTS_AS_OUT


class SlotLedger(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Written by every step that changes how many machines are out: counts, and the last slot and zone.

    `last_slot` distinguishes ledgers with the same counts: a store that lost its last writes assigns their
    revisions again, and a step that was computed from a lost state must not be committed."""

    format: int = FORMAT
    grants: int = 0
    requests: int = 0
    last_zone: str = ""
    freed: int = 0  # slots whose machine is no longer out
    last_slot: str = ""


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How many machines may be out at once, and how long phases last; the highest `edition` is in force."""

    format: int = FORMAT
    edition: int = 0
    out: int = 1  # machines in total, for whatever reason they are out
    out_zone: int = 1
    out_cell: int = 1  # of the servers that can replace each other
    floor: float = 0.5  # share of the fleet's capacity that has to stay in service
    take_up_ms: float = 10_000.0
    drain_ms: float = 60_000.0
    settle_ms: float = 15_000.0


@dataclass(frozen=True, slots=True)
class StoredSlot:
    """A slot as stored, with the revision and value that its next step compares with."""

    slot: Slot
    mod_revision: int
    value: bytes

    @property
    def compare(self) -> Compare:
        """The slot is still as it was read."""
        return Compare(self.slot.key, self.mod_revision, self.value)


@dataclass(frozen=True, slots=True)
class Slots:
    """All stored records of maintenance."""

    slots: tuple[StoredSlot, ...] = ()
    ledger: SlotLedger = field(default_factory=SlotLedger)
    ledger_revision: int = 0
    limits: Limits = field(default_factory=Limits)
    limits_revision: int = 0
    ledger_value: bytes | None = None
    limits_value: bytes | None = None
    unreadable: tuple[str, ...] = ()  # keys whose value is damaged or has a newer format

    @property
    def ledger_compare(self) -> Compare:
        """No slot has been granted, requested or freed since the ledger was read."""
        return Compare(LEDGER_KEY, self.ledger_revision, self.ledger_value)

    @property
    def limits_compare(self) -> Compare:
        """The limits are still as they were read."""
        return Compare(LIMITS_KEY, self.limits_revision, self.limits_value)

    def find(self, slot_id: str) -> StoredSlot | None:
        """The slot with this id, or None."""
        return next((stored for stored in self.slots if stored.slot.id == slot_id), None)


def read_slots(snapshot: Snapshot) -> Slots:
    """Decode all records; keys that are unreadable are listed, and block every grant."""
    slots, unreadable = [], []
    for entry in snapshot.with_prefix(SLOTS_PREFIX):
        slot = decode_record(entry.value, Slot, FORMAT)
        if slot is None or slot.key != entry.key:
            unreadable.append(entry.key)
        else:
            slots.append(StoredSlot(slot, entry.mod_revision, entry.value))
    ledger_entry, limits_entry = snapshot.find(LEDGER_KEY), snapshot.find(LIMITS_KEY)
    ledger = decode_record(ledger_entry.value, SlotLedger, FORMAT) if ledger_entry else SlotLedger()
    limits = decode_record(limits_entry.value, Limits, FORMAT) if limits_entry else Limits()
    unreadable += [key for key, record in ((LEDGER_KEY, ledger), (LIMITS_KEY, limits)) if record is None]
    return Slots(
        tuple(slots),
        ledger or SlotLedger(),
        ledger_entry.mod_revision if ledger_entry else 0,
        limits or Limits(out=0),
        limits_entry.mod_revision if limits_entry else 0,
        ledger_entry.value if ledger_entry else None,
        limits_entry.value if limits_entry else None,
        tuple(unreadable),
    )


def encode(value: Slot | SlotLedger | Limits) -> bytes:
    """Encode a record for the store."""
    return msgspec.json.encode(value)


def slot_change(stored: StoredSlot, **changes: object) -> tuple[Compare, Write]:
    """The compare and the write of a step that changes this slot."""
    slot = msgspec.structs.replace(stored.slot, **changes)
    return stored.compare, Write(stored.slot.key, encode(slot))


def request_slots(slots: Slots, requested: list[Slot]) -> Transaction:
    """The transaction that adds slots to the queue in this order; raises MaintenanceError on refusal.

    Each slot gets its number from the ledger, so that requests at two softswitches have one order."""
    if slots.unreadable:
        raise MaintenanceError(
            f"{slots.unreadable[0]} in the store can't be read: no turn begins until it can"
        )
    unfinished = [stored.slot for stored in slots.slots if stored.slot.phase is not Phase.DONE]
    if len(unfinished) + len(requested) > MAX_SLOTS:
        raise MaintenanceError(f"the queue holds {len(unfinished)} of {MAX_SLOTS} turns: it is full")
    names = [(slot.kind, slot.machine) for slot in requested]
    if len(set(names)) < len(names):
        raise MaintenanceError("a machine is named twice")
    for slot in unfinished:
        if (slot.kind, slot.machine) in names:
            raise MaintenanceError(f"{slot.machine} has turn {slot.id} already, which is {slot.phase.value}")
    ledger = msgspec.structs.replace(slots.ledger, requests=slots.ledger.requests + len(requested))
    compares, writes = [slots.ledger_compare], [Write(LEDGER_KEY, encode(ledger))]
    for number, slot in enumerate(requested, slots.ledger.requests + 1):
        if not 0 < len(slot.machine) <= MAX_NAME_LENGTH:
            raise MaintenanceError(f"a machine's name has 1 to {MAX_NAME_LENGTH} characters")
        compares.append(Compare(slot.key, 0))
        writes.append(Write(slot.key, encode(msgspec.structs.replace(slot, number=number))))
    return Transaction(tuple(compares), tuple(writes))


def adopt_limits(slots: Slots, file_limits: Limits) -> Transaction | None:
    """The transaction that stores the limits of this softswitch's file, if their edition is higher."""
    if (
        slots.limits_revision
        and file_limits.edition <= slots.limits.edition
        or LIMITS_KEY in slots.unreadable
    ):
        return None
    return Transaction((slots.limits_compare,), (Write(LIMITS_KEY, encode(file_limits)),))
