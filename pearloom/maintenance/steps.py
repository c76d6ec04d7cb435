"""The steps of a turn's life, as attempts at the store. A decision: no I/O, time passed in as float ms.

| stands at | what is seen | goes to |
| --- | --- | --- |
| waiting | it is next (`order.waits`) | granted |
| granted | a softswitch, in the life of the grant, takes it up itself; a server's, anybody | draining |
| granted | nobody took it up in `take_up_ms`, and the machine is ready | waiting |
| granted, draining | the machine is away, or a softswitch is in another life | out |
| draining | a softswitch: nothing is open there; either: `drain_ms` is over | out |
| out | it died on its turn and is ready again, or is ready in another life | returning |
| returning | `settle_ms` is over and it is ready | done |
| returning | it is away | out |
| done | `KEEP_MS` is over | (deleted) |

Every softswitch computes the same next step and tries it; the compare on its revision lets one through.
No step rests on anybody's wall clock: a phase's time runs by the own steady clock from when its revision was
first seen here. Guards against a machine that sleeps through its turn: its step compares with a revision that
is no longer there, and its incarnation is asked before it drains on a grant.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from pearloom.coordination.port import Transaction, Write
from pearloom.maintenance.order import Fleet, Machine, wait_reasons
from pearloom.maintenance.records import (
    LEDGER_KEY,
    MachineKind,
    MaintenanceError,
    Phase,
    Slots,
    StoredSlot,
    encode,
    slot_change,
)

DIED_PREFIX = "died on its "  # how the notes of those begin that did
DONE_RETENTION_MS = 60_000.0  # a turn that is done is shown for so long


@dataclass(frozen=True, slots=True)
class Step:
    """One step to try: what it does, in a line of the log's words, and the transaction."""

    slot: str
    machine: str
    to: Phase | None  # None: the record goes
    why: str
    transaction: Transaction


@dataclass(frozen=True, slots=True)
class LocalSoftswitch:
    """This softswitch itself: what it needs to take its own turn up and to end its drain."""

    name: str
    incarnation: int
    is_idle: bool = False  # drained: nothing is open or standing here
    may_act: bool = True  # its lease is certainly alive at this moment


def next_step(
    slots: Slots, fleet: Fleet, own: LocalSoftswitch, seen_ms: Mapping[tuple[str, int], float], now_ms: float
) -> Step | None:
    """The one step to try now; `seen_ms`: when each turn was first seen here at its present revision.

    Steps that free room come before one that takes it, so that a full fleet does not wait for its order."""
    if not own.may_act or not fleet.is_fresh:
        return None
    machines = {(one.kind, one.name): one for one in fleet.machines}
    for held in slots.slots:
        since = now_ms - seen_ms.get((held.slot.id, held.mod_revision), now_ms)
        machine = machines.get((held.slot.kind, held.slot.machine))
        if (step := _advance(held, machine, own, slots, since)) is not None:
            return step
    for held, reason in wait_reasons(slots, fleet):
        if reason is None:
            return _grant(held, slots, fleet)
    return None


def _step(held: StoredSlot, to: Phase, why: str, **changes: object) -> Step:
    compare, write = slot_change(held, phase=to, note=why, **changes)
    return Step(held.slot.id, held.slot.machine, to, why, Transaction((compare,), (write,)))


def _freeing_step(held: StoredSlot, slots: Slots, to: Phase, why: str, **changes: object) -> Step:
    """A step after which the machine counts as out no more: who counts on its room compares with the gate.

    Guards against a grant into room that a store has taken back by losing this very write."""
    compare, write = slot_change(held, phase=to, note=why, **changes)
    gate = msgspec.structs.replace(slots.ledger, freed=slots.ledger.freed + 1, last_slot=held.slot.id)
    attempt = Transaction((compare, slots.ledger_compare), (write, Write(LEDGER_KEY, encode(gate))))
    return Step(held.slot.id, held.slot.machine, to, why, attempt)


def _grant(held: StoredSlot, slots: Slots, fleet: Fleet) -> Step:
    machine = fleet.find(held.slot.kind, held.slot.machine)
    assert machine is not None, "a turn that may begin has its machine in the fleet"
    gate = msgspec.structs.replace(
        slots.ledger, grants=slots.ledger.grants + 1, last_zone=held.slot.zone, last_slot=held.slot.id
    )
    compare, write = slot_change(held, phase=Phase.GRANTED, note="next", grant=machine.incarnation)
    # The gate is compared too: two that each see room for one more can't both take it. So are the limits.
    attempt = Transaction(
        (compare, slots.ledger_compare, slots.limits_compare),
        (write, Write(LEDGER_KEY, encode(gate))),
    )
    return Step(held.slot.id, held.slot.machine, Phase.GRANTED, "next", attempt)


def _advance(
    held: StoredSlot, machine: Machine | None, own: LocalSoftswitch, slots: Slots, since_ms: float
) -> Step | None:
    """The step of a turn that has begun, if there is one."""
    slot, limits = held.slot, slots.limits
    away = machine is None or not machine.is_ready
    reborn = _has_restarted(held, machine)
    match slot.phase:
        case Phase.GRANTED:
            if away or reborn:
                return _step(held, Phase.OUT, DIED_PREFIX + "turn")
            if slot.kind is MachineKind.SERVER or _is_own(held, own):
                return _step(held, Phase.DRAINING, "taken up")
            if since_ms > limits.take_up_ms:
                return _freeing_step(held, slots, Phase.WAITING, "not taken up", grant=0)
        case Phase.DRAINING:
            if away or reborn:
                return _step(held, Phase.OUT, DIED_PREFIX + "turn")
            if _is_own(held, own) and own.is_idle:
                return _step(held, Phase.OUT, "drained")
            if since_ms > limits.drain_ms:
                return _step(held, Phase.OUT, "drained for long enough")
        case Phase.OUT:
            if not away and (reborn or slot.note.startswith(DIED_PREFIX)):
                return _step(held, Phase.RETURNING, "ready again")
        case Phase.RETURNING:
            if away:
                return _step(held, Phase.OUT, DIED_PREFIX + "return")
            if since_ms > limits.settle_ms:
                return _freeing_step(held, slots, Phase.DONE, "settled")
        case Phase.DONE if since_ms > DONE_RETENTION_MS:
            gone = Transaction((held.compare,), (Write(slot.key, None),))
            return Step(slot.id, slot.machine, None, "forgotten", gone)
    return None


def _is_own(held: StoredSlot, own: LocalSoftswitch) -> bool:
    """Is it this softswitch's own turn, granted in this very life?"""
    slot = held.slot
    return slot.kind is MachineKind.SOFTSWITCH and slot.machine == own.name and slot.grant == own.incarnation


def _has_restarted(held: StoredSlot, machine: Machine | None) -> bool:
    """Is the machine in another life than the one to which the turn was granted?"""
    return machine is not None and machine.incarnation != held.slot.grant


def cancel(slots: Slots, slot: str) -> Step:
    """The operator takes a request back: one that waits goes, one that has begun returns."""
    held = _find_slot(slots, slot)
    match held.slot.phase:
        case Phase.WAITING | Phase.DONE:
            gone = Transaction((held.compare,), (Write(held.slot.key, None),))
            return Step(slot, held.slot.machine, None, "cancelled", gone)
        case Phase.GRANTED | Phase.DRAINING:
            return _step(held, Phase.RETURNING, "cancelled")
        case phase:
            raise MaintenanceError(f"turn {slot} is {phase.value}: say that its machine is back instead")


def mark_returned(slots: Slots, slot: str) -> Step:
    """The operator says that a machine that is out is back, where nothing else shows it."""
    held = _find_slot(slots, slot)
    if held.slot.phase is not Phase.OUT:
        raise MaintenanceError(f"turn {slot} is {held.slot.phase.value}, not out")
    return _step(held, Phase.RETURNING, "back, as the operator says")


def _find_slot(slots: Slots, slot: str) -> StoredSlot:
    held = slots.find(slot)
    if held is None:
        raise MaintenanceError(f"there is no turn {slot[:16]}")
    return held
