"""Rolling maintenance of a large fleet in simulated time: the real slot decisions on a store in memory.

For fleets too large for real processes. One softswitch computes the steps, as any would; every transaction
compares revisions and values as at the store. How long each machine is out is drawn from a seed.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random

from pearloom.coordination.port import Entry, Snapshot, Transaction
from pearloom.maintenance import records, steps
from pearloom.maintenance.order import Fleet, Machine
from pearloom.maintenance.records import FORMAT, Limits, MachineKind, Phase, Slot
from pearloom.maintenance.steps import LocalSoftswitch

STEP_MS = 250.0


def apply(store: Snapshot, transaction: Transaction) -> Snapshot | None:
    """Return the store after a transaction; None where a compare does not hold."""
    entries = {entry.key: entry for entry in store.entries}
    for compare in transaction.compares:
        found = entries.get(compare.key)
        if (found.mod_revision if found else 0) != compare.mod_revision:
            return None
        if compare.value is not None and (found is None or found.value != compare.value):
            return None
    revision = store.revision + 1
    for write in transaction.writes:
        old = entries.pop(write.key, None)
        if write.value is not None:
            entries[write.key] = Entry(
                write.key, write.value, old.create_revision if old else revision, revision
            )
    return Snapshot(store.cluster, revision, tuple(entries[key] for key in sorted(entries)))


@dataclass(frozen=True, slots=True)
class Rolled:
    """The result of one simulation."""

    took_ms: float
    shortest_ms: float  # with always as many machines out as the limits allow
    most_out: int
    least_ready: float  # share of the machines
    writes: int


def roll(machines: int, zones: int, limits: Limits, work_ms: tuple[float, float], seed: int) -> Rolled:
    """Take every machine out once, each as soon as its slot is granted."""
    random, now = Random(seed), 0.0
    fleet = [
        Machine(MachineKind.SERVER, f"s-{at:08x}", f"zone-{at % zones}", incarnation=1)
        for at in range(machines)
    ]
    work_times = {machine.name: random.uniform(*work_ms) for machine in fleet}
    requested = [
        Slot(FORMAT, machine.name[2:], MachineKind.SERVER, machine.name, machine.zone, "", False, "n1", "", 0)
        for machine in fleet
    ]
    store = Snapshot(1, 1, (Entry(records.LIMITS_KEY, records.encode(limits), 1, 1),))
    queued = apply(store, records.request_slots(records.read_slots(store), requested))
    assert queued is not None, "there is no other writer"
    store, began, seen = queued, dict[str, float](), dict[tuple[str, int], float]()
    most_out, least, writes = 0, machines, 1
    while True:
        slots = records.read_slots(store)
        seen = {
            (entry.slot.id, entry.mod_revision): seen.get((entry.slot.id, entry.mod_revision), now)
            for entry in slots.slots
        }
        out = {stored.slot.machine for stored in slots.slots if stored.slot.is_out}
        most_out, least = max(most_out, len(out)), min(least, machines - len(out))
        if all(stored.slot.phase is Phase.DONE for stored in slots.slots):
            break
        for stored in slots.slots:  # after its maintenance a machine returns as the next incarnation
            if stored.slot.phase is Phase.OUT:
                began.setdefault(stored.slot.machine, now)
        fleet = [
            replace(machine, incarnation=2)
            if machine.name in began and now - began[machine.name] >= work_times[machine.name]
            else machine
            for machine in fleet
        ]
        step = steps.next_step(slots, Fleet(tuple(fleet)), LocalSoftswitch("n1", 1), seen, now)
        if step is None:
            now += STEP_MS
            continue
        after = apply(store, step.transaction)
        assert after is not None, "there is no other writer"
        store, writes = after, writes + 1
    at_once = min(limits.out, limits.out_zone * zones)
    total_ms = sum(work_times.values()) + machines * (limits.drain_ms + limits.settle_ms)
    return Rolled(now, total_ms / at_once, most_out, least / machines, writes)
