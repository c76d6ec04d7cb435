"""Rolling work over a large fleet in simulated time: the real decisions of turns on a store in memory.

For sizes that processes don't reach. One softswitch computes the steps, as any would; every transaction
compares as at the store. Machines drain and are worked on for as long as a seed draws.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random

from pearloom.coordination.port import Entry, Snapshot, Transaction
from pearloom.maintenance import records, steps
from pearloom.maintenance.order import Fleet, Machine
from pearloom.maintenance.records import FORMAT, Limits, MachineKind, Phase, Slot
from pearloom.maintenance.steps import LocalSoftswitch

LOOK_MS = 250.0


def apply(store: Snapshot, attempt: Transaction) -> Snapshot | None:
    """The store after a transaction, or None where a compare does not hold."""
    held = {entry.key: entry for entry in store.entries}
    for compare in attempt.compares:
        found = held.get(compare.key)
        if (found.mod_revision if found else 0) != compare.mod_revision:
            return None
        if compare.value is not None and (found is None or found.value != compare.value):
            return None
    revision = store.revision + 1
    for write in attempt.writes:
        old = held.pop(write.key, None)
        if write.value is not None:
            held[write.key] = Entry(
                write.key, write.value, old.create_revision if old else revision, revision
            )
    return Snapshot(store.cluster, revision, tuple(held[key] for key in sorted(held)))


@dataclass(frozen=True, slots=True)
class Rolled:
    """What came of it."""

    took_ms: float
    shortest_ms: float  # were as many always at work as the limits allow
    most_out: int
    least_ready: float  # share of the machines
    writes: int


def roll(machines: int, zones: int, limits: Limits, work_ms: tuple[float, float], seed: int) -> Rolled:
    """Take every machine out once, each as soon as its turn comes."""
    random, now = Random(seed), 0.0
    fleet = [
        Machine(MachineKind.SERVER, f"s-{at:08x}", f"zone-{at % zones}", incarnation=1)
        for at in range(machines)
    ]
    works = {one.name: random.uniform(*work_ms) for one in fleet}
    asked = [
        Slot(FORMAT, one.name[2:], MachineKind.SERVER, one.name, one.zone, "", False, "n1", "", 0)
        for one in fleet
    ]
    store = Snapshot(1, 1, (Entry(records.LIMITS_KEY, records.encode(limits), 1, 1),))
    queued = apply(store, records.request_slots(records.read_slots(store), asked))
    assert queued is not None, "nobody else writes"
    store, began, seen = queued, dict[str, float](), dict[tuple[str, int], float]()
    most_out, least, writes = 0, machines, 1
    while True:
        slots = records.read_slots(store)
        seen = {
            (one.slot.id, one.mod_revision): seen.get((one.slot.id, one.mod_revision), now)
            for one in slots.slots
        }
        out = {held.slot.machine for held in slots.slots if held.slot.is_out}
        most_out, least = max(most_out, len(out)), min(least, machines - len(out))
        if all(held.slot.phase is Phase.DONE for held in slots.slots):
            break
        for held in slots.slots:  # a machine that is out is worked on, and comes back as another life
            if held.slot.phase is Phase.OUT:
                began.setdefault(held.slot.machine, now)
        fleet = [
            replace(one, incarnation=2)
            if one.name in began and now - began[one.name] >= works[one.name]
            else one
            for one in fleet
        ]
        step = steps.next_step(slots, Fleet(tuple(fleet)), LocalSoftswitch("n1", 1), seen, now)
        if step is None:
            now += LOOK_MS
            continue
        after = apply(store, step.transaction)
        assert after is not None, "nobody else writes"
        store, writes = after, writes + 1
    at_once = min(limits.out, limits.out_zone * zones)
    whole = sum(works.values()) + machines * (limits.drain_ms + limits.settle_ms)
    return Rolled(now, whole / at_once, most_out, least / machines, writes)
