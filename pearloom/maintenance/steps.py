"""The steps of a maintenance slot, as transactions. No I/O; times are passed in as milliseconds.

| phase | condition | next phase |
| --- | --- | --- |
| waiting | the slot is next (`order.wait_reasons`) | granted |
| granted | a server, or a softswitch that tries the step itself in the granted incarnation | draining |
| granted | it has not started to drain within `take_up_ms`, and the machine is ready | waiting |
| granted, draining | the machine is away or in another incarnation | out |
| draining | a softswitch that is idle; any machine after `drain_ms` | out |
| out | the machine failed in its slot and is ready again, or is ready in another incarnation | returning |
| returning | `settle_ms` is over and the machine is ready | done |
| returning | the machine is away | out |
| done | `DONE_RETENTION_MS` is over | (deleted) |

Every softswitch computes the same next step and tries it; the compare with the slot's revision lets only one
commit. No step depends on a wall clock: the duration of a phase is measured by the local steady clock, from
when its revision was first seen here. Guards against a machine that is suspended during its slot: its step
compares with a revision that no longer exists, and its incarnation is checked before it drains for a grant.
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

DIED_PREFIX = "died on its "  # of the notes of slots whose machine failed during the slot
DONE_RETENTION_MS = 60_000.0  # how long a finished slot is shown


@dataclass(frozen=True, slots=True)
class Step:
    """A step to try: the slot, its next phase, the reason as logged, and the transaction."""

    slot: str
    machine: str
    to: Phase | None  # None: the slot is deleted
    why: str
    transaction: Transaction


@dataclass(frozen=True, slots=True)
class LocalSoftswitch:
    """The state of this softswitch that decides whether it starts and ends its own drain."""

    name: str
    incarnation: int
    is_idle: bool = False  # no call is open or established here
    may_act: bool = True  # its lease is certainly alive now


def next_step(
    slots: Slots,
    fleet: Fleet,
    local: LocalSoftswitch,
    seen_ms: Mapping[tuple[str, int], float],
    now_ms: float,
) -> Step | None:
    """The step to try now; `seen_ms`: when each slot was first seen here at its present revision.

    Steps that free room come before a grant, so that a full fleet does not wait for the queue."""
    if not local.may_act or not fleet.is_fresh:
        return None
    machines = {(known.kind, known.name): known for known in fleet.machines}
    for stored in slots.slots:
        since_ms = now_ms - seen_ms.get((stored.slot.id, stored.mod_revision), now_ms)
        machine = machines.get((stored.slot.kind, stored.slot.machine))
        if (step := _advance(stored, machine, local, slots, since_ms)) is not None:
            return step
    for stored, reason in wait_reasons(slots, fleet):
        if reason is None:
            return _grant(stored, slots, fleet)
    return None


def _step(stored: StoredSlot, to: Phase, why: str, **changes: object) -> Step:
    compare, write = slot_change(stored, phase=to, note=why, **changes)
    return Step(stored.slot.id, stored.slot.machine, to, why, Transaction((compare,), (write,)))


def _freeing_step(stored: StoredSlot, slots: Slots, to: Phase, why: str, **changes: object) -> Step:
    """A step after which the machine no longer counts as out; it writes the ledger, which grants compare.

    Guards against a grant for room that is gone again because the store lost the write of this step."""
    compare, write = slot_change(stored, phase=to, note=why, **changes)
    ledger = msgspec.structs.replace(slots.ledger, freed=slots.ledger.freed + 1, last_slot=stored.slot.id)
    transaction = Transaction((compare, slots.ledger_compare), (write, Write(LEDGER_KEY, encode(ledger))))
    return Step(stored.slot.id, stored.slot.machine, to, why, transaction)


def _grant(stored: StoredSlot, slots: Slots, fleet: Fleet) -> Step:
    machine = fleet.find(stored.slot.kind, stored.slot.machine)
    assert machine is not None, "a slot that may begin has its machine in the fleet"
    ledger = msgspec.structs.replace(
        slots.ledger, grants=slots.ledger.grants + 1, last_zone=stored.slot.zone, last_slot=stored.slot.id
    )
    compare, write = slot_change(stored, phase=Phase.GRANTED, note="next", grant=machine.incarnation)
    # The ledger and the limits are compared, so that two softswitches that each see room for one more slot
    # can't both grant one.
    transaction = Transaction(
        (compare, slots.ledger_compare, slots.limits_compare),
        (write, Write(LEDGER_KEY, encode(ledger))),
    )
    return Step(stored.slot.id, stored.slot.machine, Phase.GRANTED, "next", transaction)


def _advance(
    stored: StoredSlot, machine: Machine | None, local: LocalSoftswitch, slots: Slots, since_ms: float
) -> Step | None:
    """The next step of a slot that has begun, if there is one."""
    slot, limits = stored.slot, slots.limits
    is_away = machine is None or not machine.is_ready
    has_restarted = _has_restarted(stored, machine)
    match slot.phase:
        case Phase.GRANTED:
            if is_away or has_restarted:
                return _step(stored, Phase.OUT, DIED_PREFIX + "turn")
            if slot.kind is MachineKind.SERVER or _is_own(stored, local):
                return _step(stored, Phase.DRAINING, "taken up")
            if since_ms > limits.take_up_ms:
                return _freeing_step(stored, slots, Phase.WAITING, "not taken up", grant=0)
        case Phase.DRAINING:
            if is_away or has_restarted:
                return _step(stored, Phase.OUT, DIED_PREFIX + "turn")
            if _is_own(stored, local) and local.is_idle:
                return _step(stored, Phase.OUT, "drained")
            if since_ms > limits.drain_ms:
                return _step(stored, Phase.OUT, "drained for long enough")
        case Phase.OUT:
            if not is_away and (has_restarted or slot.note.startswith(DIED_PREFIX)):
                return _step(stored, Phase.RETURNING, "ready again")
        case Phase.RETURNING:
            if is_away:
                return _step(stored, Phase.OUT, DIED_PREFIX + "return")
            if since_ms > limits.settle_ms:
                return _freeing_step(stored, slots, Phase.DONE, "settled")
        case Phase.DONE if since_ms > DONE_RETENTION_MS:
            deletion = Transaction((stored.compare,), (Write(slot.key, None),))
            return Step(slot.id, slot.machine, None, "forgotten", deletion)
    return None


def _is_own(stored: StoredSlot, local: LocalSoftswitch) -> bool:
    """Whether this is the slot of this softswitch, granted to this incarnation."""
    slot = stored.slot
    return (
        slot.kind is MachineKind.SOFTSWITCH and slot.machine == local.name and slot.grant == local.incarnation
    )


def _has_restarted(stored: StoredSlot, machine: Machine | None) -> bool:
    """Whether the machine is in another incarnation than the one to which the slot was granted."""
    return machine is not None and machine.incarnation != stored.slot.grant


def cancel(slots: Slots, slot_id: str) -> Step:
    """Cancel a request for an operator: a waiting slot is deleted, a slot that has begun returns."""
    stored = _find_slot(slots, slot_id)
    match stored.slot.phase:
        case Phase.WAITING | Phase.DONE:
            deletion = Transaction((stored.compare,), (Write(stored.slot.key, None),))
            return Step(slot_id, stored.slot.machine, None, "cancelled", deletion)
        case Phase.GRANTED | Phase.DRAINING:
            return _step(stored, Phase.RETURNING, "cancelled")
        case phase:
            raise MaintenanceError(f"turn {slot_id} is {phase.value}: report its machine as back instead")


def mark_returned(slots: Slots, slot_id: str) -> Step:
    """Record an operator's report that a machine that is out is back, where nothing else shows it."""
    stored = _find_slot(slots, slot_id)
    if stored.slot.phase is not Phase.OUT:
        raise MaintenanceError(f"turn {slot_id} is {stored.slot.phase.value}, not out")
    return _step(stored, Phase.RETURNING, "back, as the operator says")


def _find_slot(slots: Slots, slot_id: str) -> StoredSlot:
    stored = slots.find(slot_id)
    if stored is None:
        raise MaintenanceError(f"there is no turn {slot_id[:16]}")
    return stored
