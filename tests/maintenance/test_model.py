"""Turns explored exhaustively: two softswitches and a store, over every order of what may happen.

The softswitches run the real decisions (`order`, `steps`, `records`) on what each last read. The store does
a transaction whole or not at all, and may lose its last one, after which it gives that revision again. Beside
the steps: a read that is late, a reply lost after the write, an urgent request in between, a softswitch that
sleeps through its lease and wakes with its old picture, a machine that dies and is born again.

Invariants, at every state: never more machines out than the limits say; a turn is granted to one life only;
a softswitch works (drains) on no grant of a former life; numbers of steps only grow.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from functools import lru_cache

import pytest

from pearloom.coordination.port import Entry, Snapshot, Transaction
from pearloom.fakes.fleet.simulation import apply, roll
from pearloom.maintenance import order, records, steps
from pearloom.maintenance.order import Fleet, Machine
from pearloom.maintenance.records import Limits, MachineKind, Phase, Slot
from pearloom.maintenance.steps import LocalSoftswitch

NAMES = ("n1", "n2")
REVISIONS = 9  # of the store, up to which is explored
LOSES = "the store loses its last write"
LATE_MS = 1e6  # so long a phase has lasted where a step that waits for time is to be possible


@dataclass(frozen=True)
class Node:
    """One softswitch: its life, whether it runs, what it last read, what it is about to try."""

    life: int
    awake: bool = True
    alive: bool = True  # its lease is
    read: Snapshot = field(default_factory=lambda: Snapshot(1, 0, ()))
    trying: Transaction | None = None
    works: int = 0  # the revision of the grant on which it drains, 0: none
    works_life: int = 0


@dataclass(frozen=True)
class World:
    """The whole: the store, the two softswitches, and how many faults are left."""

    store: Snapshot
    nodes: tuple[Node, ...]
    faults: int
    past: Snapshot | None = None  # before the last write, which may still be lost


reading = lru_cache(maxsize=None)(records.read_slots)


def start(limits: Limits, faults: int) -> World:
    store = Snapshot(1, 1, (Entry(records.LIMITS_KEY, records.encode(limits), 1, 1),))
    first = apply(store, records.request_slots(reading(store), [ask("n1", urgent=False)]))
    assert first is not None
    return World(first, tuple(Node(10 + at, read=first) for at in range(len(NAMES))), faults)


def ask(name: str, urgent: bool) -> Slot:
    return Slot(1, f"t-{name}", MachineKind.SOFTSWITCH, name, f"zone-{name}", "", urgent, "n1", "kernel", 0)


def fleet_of(world: World) -> Fleet:
    """As both see it: leases end at the store, so what one sees of the other is what the store says."""
    return Fleet(
        tuple(
            Machine(MachineKind.SOFTSWITCH, name, f"zone-{name}", is_ready=node.alive, incarnation=node.life)
            for name, node in zip(NAMES, world.nodes, strict=True)
        )
    )


def moves(world: World) -> Iterator[tuple[str, World]]:
    """Every single thing that may happen next."""
    if world.store.find("turns/t-n2") is None and world.store.revision < 6:
        asked = apply(world.store, records.request_slots(reading(world.store), [ask("n2", urgent=True)]))
        assert asked is not None
        yield "an urgent request comes", replace(world, store=asked, past=world.store)
    if world.faults and world.past is not None:
        yield LOSES, World(world.past, world.nodes, world.faults - 1)
    for at, name in enumerate(NAMES):
        node = world.nodes[at]

        def put(changed: Node, store: Snapshot = world.store, spent: int = 0, at: int = at) -> World:
            nodes = tuple(changed if one == at else old for one, old in enumerate(world.nodes))
            past = world.past if store is world.store else world.store
            return World(store, nodes, world.faults - spent, past)

        if node.awake:
            if node.read != world.store and node.trying is None:
                yield f"{name} reads", put(replace(node, read=world.store))
            if node.trying is None:
                for idle, waited in ((False, 0.0), (True, 0.0), (False, LATE_MS)):
                    step = decide(world, name, node, idle, waited)
                    if step is not None:
                        yield f"{name} tries {step.to}", put(replace(node, trying=step.transaction))
            else:
                after = apply(world.store, node.trying)
                done = replace(node, trying=None)
                yield (
                    f"{name} is answered",
                    put(replace(done, read=after or world.store), after or world.store),
                )
                if after is not None and world.faults:
                    yield f"{name}'s reply is lost", put(done, after, 1)
            working = works_on(node)
            if working != (node.works, node.works_life):
                yield f"{name} works", put(replace(node, works=working[0], works_life=working[1]))
            if world.faults:
                yield f"{name} sleeps", put(replace(node, awake=False), spent=1)
        else:
            if node.alive:
                yield f"{name}'s lease ends", put(replace(node, alive=False))
            yield f"{name} wakes", put(replace(node, awake=True, alive=True))
        if world.faults:
            reborn = Node(node.life + 10, read=world.store)
            yield f"{name} is born again", put(reborn, spent=1)


def decide(world: World, name: str, node: Node, idle: bool, waited: float) -> steps.Step | None:
    slots = reading(node.read)
    seen = {(held.slot.id, held.mod_revision): -waited for held in slots.slots}
    return steps.next_step(
        slots, fleet_of(world), LocalSoftswitch(name, node.life, idle, node.alive), seen, 0.0
    )


def works_on(node: Node) -> tuple[int, int]:
    """What the host does: it drains while its own turn, granted to this life, says so."""
    for held in reading(node.read).slots:
        if held.slot.grant == node.life and held.slot.phase in (Phase.DRAINING, Phase.OUT):
            return held.mod_revision, held.slot.grant
    return 0, 0


def broken(world: World, limits: Limits) -> str:
    """The invariant that does not hold, if one does not."""
    slots = reading(world.store)
    out = {held.slot.machine for held in slots.slots if held.slot.is_out}
    if len(out) > limits.out:
        return f"{len(out)} machines are out on turns, {limits.out} may be"
    for node in world.nodes:
        if node.works_life and node.works_life != node.life:
            return "a softswitch works on a grant of its former life"
    return ""


def explore(limits: Limits, faults: int, most: int = 400_000) -> tuple[int, int, str]:
    """How many states and moves there are, and the first break with the way to it."""
    first = start(limits, faults)
    ways: dict[World, str] = {first: ""}
    waiting, count = deque([first]), 0
    while waiting:
        world = waiting.popleft()
        for what, after in moves(world):
            count += 1
            if after.store.revision < world.store.revision and what != LOSES:
                return len(ways), count, f"{ways[world]}; {what}: the store went back"
            if after.store.revision > REVISIONS or after in ways:
                continue
            ways[after] = f"{ways[world]}; {what}"
            if trouble := broken(after, limits):
                return len(ways), count, f"{ways[after]}: {trouble}"
            assert len(ways) < most, "the scope is too large to be explored"
            waiting.append(after)
    return len(ways), count, ""


@pytest.mark.parametrize("faults", [0, 1])
def test_no_order_of_events_breaks_an_invariant(faults: int) -> None:
    states, count, way = explore(Limits(out=1, floor=0.0), faults)
    assert not way
    assert states > (300 if faults else 20) and count > states


def without(monkeypatch: pytest.MonkeyPatch, seeded: str) -> None:
    """Take one guard out of the decisions."""
    real_grant: Callable[..., steps.Step] = steps._grant
    if seeded == "gate":  # a grant no longer compares with the gate

        def grant(held: records.StoredSlot, slots: records.Slots, fleet: Fleet) -> steps.Step:
            step = real_grant(held, slots, fleet)
            mine = tuple(one for one in step.transaction.compares if one.key == held.slot.key)
            return replace(step, transaction=Transaction(mine, step.transaction.writes))

        monkeypatch.setattr(steps, "_grant", grant)
    elif seeded == "out":  # machines out on their turn are not counted
        monkeypatch.setattr(order, "machines_out", lambda slots, fleet: [])
    elif seeded == "freed":  # room that became free is told by no write of the gate

        def free(
            held: records.StoredSlot, slots: records.Slots, to: Phase, why: str, **changes: object
        ) -> steps.Step:
            return steps._step(held, to, why, **changes)

        monkeypatch.setattr(steps, "_freeing_step", free)
    else:  # a step no longer compares with the turn's revision

        def moved(held: records.StoredSlot, **changes: object) -> tuple[object, object]:
            compare, write = records.slot_change(held, **changes)
            return replace(compare, key="nothing", mod_revision=0, value=None), write

        monkeypatch.setattr(steps, "slot_change", moved)


@pytest.mark.parametrize("seeded", ["gate", "out", "revision", "freed"])
def test_the_exploration_finds_a_seeded_fault(monkeypatch: pytest.MonkeyPatch, seeded: str) -> None:
    without(monkeypatch, seeded)
    _, _, way = explore(Limits(out=1, floor=0.0), 1)
    assert way, f"{seeded} was taken out and nothing broke"


def test_a_grant_into_room_that_a_lost_write_had_freed_does_not_pass() -> None:
    """Guards against a compare on revisions alone: a store that lost a write gives its revision again."""
    limits = Limits(out=1, floor=0.0)
    machines = tuple(Machine(MachineKind.SOFTSWITCH, name, f"zone-{name}", incarnation=1) for name in NAMES)
    fleet, own = Fleet(machines), LocalSoftswitch("n1", 1)
    store: Snapshot | None = Snapshot(1, 1, (Entry(records.LIMITS_KEY, records.encode(limits), 1, 1),))
    assert store is not None
    store = apply(store, records.request_slots(reading(store), [ask(name, urgent=False) for name in NAMES]))

    def on(there: Snapshot, fleet: Fleet, waited: float) -> steps.Step:
        seen = {(held.slot.id, held.mod_revision): -waited for held in reading(there).slots}
        step = steps.next_step(reading(there), fleet, own, seen, 0.0)
        assert step is not None
        return step

    for to in (Phase.GRANTED, Phase.DRAINING, Phase.OUT, Phase.RETURNING):
        assert store is not None
        born = 2 if to is Phase.RETURNING else 1
        seen = Fleet((replace(machines[0], incarnation=born), machines[1]))
        step = on(store, seen, LATE_MS if to is Phase.OUT else 0.0)
        assert step.to is to
        store = apply(store, step.transaction)
    assert store is not None
    freed = apply(store, on(store, fleet, LATE_MS).transaction)  # done; and this write is lost
    assert freed is not None
    late = on(freed, fleet, 0.0)
    assert (late.to, late.machine) == (Phase.GRANTED, "n2")
    other = apply(store, records.request_slots(reading(store), [replace_id(ask("n1", urgent=False))]))
    assert other is not None and other.revision == freed.revision
    assert apply(other, late.transaction) is None


def replace_id(slot: Slot) -> Slot:
    """Another machine's turn, so that it may be asked for beside those that are there."""
    return Slot(1, "t-n3", MachineKind.SOFTSWITCH, "n3", slot.zone, "", False, "n1", slot.reason, 0)


def test_rolling_work_over_a_simulated_fleet_keeps_the_limits_and_wastes_little() -> None:
    limits = Limits(out=4, out_zone=2, out_cell=40, floor=0.5, drain_ms=2_000, settle_ms=1_000)
    found = roll(40, 3, limits, (5_000.0, 10_000.0), seed=3)
    assert found.most_out <= 4 and found.least_ready >= 0.9
    assert found.took_ms <= 1.35 * found.shortest_ms
