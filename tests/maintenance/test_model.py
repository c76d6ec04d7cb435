"""Model check of maintenance slots: two softswitches and a store, in every order of events.

The softswitches run the real decisions (`order`, `steps`, `records`) on the snapshots that they read last.
The store applies a transaction as a whole or not at all, and may lose its last one, whose revision it then
assigns again. Further events: a late read, a reply lost after the write, an urgent request, a softswitch
suspended beyond its lease that resumes with its old snapshot, a machine that fails and restarts.

Invariants in every state: no more machines are out than the limits allow; a slot is granted to one
incarnation only; a softswitch does not drain for a grant to a former incarnation; revisions only grow.
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
MAX_REVISION = 9  # states beyond this revision of the store are not explored
WRITE_LOSS = "the store loses its last write"
LATE_MS = 1e6  # a phase's duration beyond every time limit


@dataclass(frozen=True)
class Node:
    """One softswitch: its incarnation, whether it runs, its snapshot, the transaction it is about to try."""

    incarnation: int
    is_running: bool = True
    has_lease: bool = True
    read: Snapshot = field(default_factory=lambda: Snapshot(1, 0, ()))
    trying: Transaction | None = None
    drain_revision: int = 0  # revision of the slot for which it drains, 0: none
    drain_incarnation: int = 0


@dataclass(frozen=True)
class World:
    """The whole state: the store, the two softswitches, and how many more faults may occur."""

    store: Snapshot
    nodes: tuple[Node, ...]
    faults: int
    past: Snapshot | None = None  # the store before its last write, which may still be lost


read_slots = lru_cache(maxsize=None)(records.read_slots)


def start(limits: Limits, faults: int) -> World:
    store = Snapshot(1, 1, (Entry(records.LIMITS_KEY, records.encode(limits), 1, 1),))
    first = apply(store, records.request_slots(read_slots(store), [request("n1", urgent=False)]))
    assert first is not None
    return World(first, tuple(Node(10 + index, read=first) for index in range(len(NAMES))), faults)


def request(name: str, urgent: bool) -> Slot:
    return Slot(1, f"t-{name}", MachineKind.SOFTSWITCH, name, f"zone-{name}", "", urgent, "n1", "kernel", 0)


def fleet_of(world: World) -> Fleet:
    """The fleet as both see it; leases end at the store, so each sees the state of the other in the store."""
    return Fleet(
        tuple(
            Machine(
                MachineKind.SOFTSWITCH,
                name,
                f"zone-{name}",
                is_ready=node.has_lease,
                incarnation=node.incarnation,
            )
            for name, node in zip(NAMES, world.nodes, strict=True)
        )
    )


def events(world: World) -> Iterator[tuple[str, World]]:
    """Every event that may happen next, with the state after it."""
    if world.store.find("turns/t-n2") is None and world.store.revision < 6:
        requested = apply(
            world.store, records.request_slots(read_slots(world.store), [request("n2", urgent=True)])
        )
        assert requested is not None
        yield "an urgent request arrives", replace(world, store=requested, past=world.store)
    if world.faults and world.past is not None:
        yield WRITE_LOSS, World(world.past, world.nodes, world.faults - 1)
    for index, name in enumerate(NAMES):
        node = world.nodes[index]

        def put(changed: Node, store: Snapshot = world.store, spent: int = 0, index: int = index) -> World:
            nodes = tuple(changed if other == index else old for other, old in enumerate(world.nodes))
            past = world.past if store is world.store else world.store
            return World(store, nodes, world.faults - spent, past)

        if node.is_running:
            if node.read != world.store and node.trying is None:
                yield f"{name} reads", put(replace(node, read=world.store))
            if node.trying is None:
                for is_idle, waited_ms in ((False, 0.0), (True, 0.0), (False, LATE_MS)):
                    step = decide(world, name, node, is_idle, waited_ms)
                    if step is not None:
                        yield f"{name} tries {step.to}", put(replace(node, trying=step.transaction))
            else:
                after = apply(world.store, node.trying)
                answered = replace(node, trying=None)
                yield (
                    f"{name} is answered",
                    put(replace(answered, read=after or world.store), after or world.store),
                )
                if after is not None and world.faults:
                    yield f"{name}'s reply is lost", put(answered, after, 1)
            drain = drain_of(node)
            if drain != (node.drain_revision, node.drain_incarnation):
                yield (
                    f"{name} starts or stops its drain",
                    put(replace(node, drain_revision=drain[0], drain_incarnation=drain[1])),
                )
            if world.faults:
                yield f"{name} is suspended", put(replace(node, is_running=False), spent=1)
        else:
            if node.has_lease:
                yield f"{name}'s lease ends", put(replace(node, has_lease=False))
            yield f"{name} resumes", put(replace(node, is_running=True, has_lease=True))
        if world.faults:
            restarted = Node(node.incarnation + 10, read=world.store)
            yield f"{name} restarts", put(restarted, spent=1)


def decide(world: World, name: str, node: Node, is_idle: bool, waited_ms: float) -> steps.Step | None:
    slots = read_slots(node.read)
    seen = {(stored.slot.id, stored.mod_revision): -waited_ms for stored in slots.slots}
    return steps.next_step(
        slots, fleet_of(world), LocalSoftswitch(name, node.incarnation, is_idle, node.has_lease), seen, 0.0
    )


def drain_of(node: Node) -> tuple[int, int]:
    """The slot for which the host drains: its own, granted to this incarnation."""
    for stored in read_slots(node.read).slots:
        if stored.slot.grant == node.incarnation and stored.slot.phase in (Phase.DRAINING, Phase.OUT):
            return stored.mod_revision, stored.slot.grant
    return 0, 0


def violation(world: World, limits: Limits) -> str:
    """The invariant that does not hold, or an empty text."""
    slots = read_slots(world.store)
    out = {stored.slot.machine for stored in slots.slots if stored.slot.is_out}
    if len(out) > limits.out:
        return f"{len(out)} machines are out in slots, {limits.out} may be"
    for node in world.nodes:
        if node.drain_incarnation and node.drain_incarnation != node.incarnation:
            return "a softswitch drains for a grant to its former incarnation"
    return ""


def explore(limits: Limits, faults: int, max_states: int = 400_000) -> tuple[int, int, str]:
    """The numbers of states and events, and the first violation with the path to it."""
    first = start(limits, faults)
    paths: dict[World, str] = {first: ""}
    waiting, count = deque([first]), 0
    while waiting:
        world = waiting.popleft()
        for event, after in events(world):
            count += 1
            if after.store.revision < world.store.revision and event != WRITE_LOSS:
                return len(paths), count, f"{paths[world]}; {event}: the store went back"
            if after.store.revision > MAX_REVISION or after in paths:
                continue
            paths[after] = f"{paths[world]}; {event}"
            if found := violation(after, limits):
                return len(paths), count, f"{paths[after]}: {found}"
            assert len(paths) < max_states, "too many states to explore"
            waiting.append(after)
    return len(paths), count, ""


@pytest.mark.parametrize("faults", [0, 1])
def test_no_order_of_events_violates_an_invariant(faults: int) -> None:
    states, count, path = explore(Limits(out=1, floor=0.0), faults)
    assert not path
    assert states > (300 if faults else 20) and count > states


def seed_fault(monkeypatch: pytest.MonkeyPatch, seeded: str) -> None:
    """Remove one guard from the decisions."""
    real_grant: Callable[..., steps.Step] = steps._grant
    if seeded == "ledger":  # a grant no longer compares with the ledger

        def grant(stored: records.StoredSlot, slots: records.Slots, fleet: Fleet) -> steps.Step:
            step = real_grant(stored, slots, fleet)
            own = tuple(compare for compare in step.transaction.compares if compare.key == stored.slot.key)
            return replace(step, transaction=Transaction(own, step.transaction.writes))

        monkeypatch.setattr(steps, "_grant", grant)
    elif seeded == "out":  # machines out in a slot are not counted
        monkeypatch.setattr(order, "machines_out", lambda slots, fleet: [])
    elif seeded == "freed":  # a freed slot no longer writes the ledger

        def freeing_step(
            stored: records.StoredSlot, slots: records.Slots, to: Phase, why: str, **changes: object
        ) -> steps.Step:
            return steps._step(stored, to, why, **changes)

        monkeypatch.setattr(steps, "_freeing_step", freeing_step)
    else:  # a step no longer compares with the slot's revision

        def uncompared_change(stored: records.StoredSlot, **changes: object) -> tuple[object, object]:
            compare, write = records.slot_change(stored, **changes)
            return replace(compare, key="nothing", mod_revision=0, value=None), write

        monkeypatch.setattr(steps, "slot_change", uncompared_change)


@pytest.mark.parametrize("seeded", ["ledger", "out", "revision", "freed"])
def test_the_exploration_finds_a_seeded_fault(monkeypatch: pytest.MonkeyPatch, seeded: str) -> None:
    seed_fault(monkeypatch, seeded)
    _, _, path = explore(Limits(out=1, floor=0.0), 1)
    assert path, f"{seeded} was removed and no invariant was violated"


def test_a_grant_for_room_freed_by_a_lost_write_is_not_committed() -> None:
    """Guards against comparing revisions alone: a store that lost a write assigns its revision again."""
    limits = Limits(out=1, floor=0.0)
    machines = tuple(Machine(MachineKind.SOFTSWITCH, name, f"zone-{name}", incarnation=1) for name in NAMES)
    fleet, local = Fleet(machines), LocalSoftswitch("n1", 1)
    store: Snapshot | None = Snapshot(1, 1, (Entry(records.LIMITS_KEY, records.encode(limits), 1, 1),))
    assert store is not None
    store = apply(
        store, records.request_slots(read_slots(store), [request(name, urgent=False) for name in NAMES])
    )

    def step_on(snapshot: Snapshot, fleet: Fleet, waited_ms: float) -> steps.Step:
        seen = {(stored.slot.id, stored.mod_revision): -waited_ms for stored in read_slots(snapshot).slots}
        step = steps.next_step(read_slots(snapshot), fleet, local, seen, 0.0)
        assert step is not None
        return step

    for to in (Phase.GRANTED, Phase.DRAINING, Phase.OUT, Phase.RETURNING):
        assert store is not None
        incarnation = 2 if to is Phase.RETURNING else 1
        seen = Fleet((replace(machines[0], incarnation=incarnation), machines[1]))
        step = step_on(store, seen, LATE_MS if to is Phase.OUT else 0.0)
        assert step.to is to
        store = apply(store, step.transaction)
    assert store is not None
    freed = apply(
        store, step_on(store, fleet, LATE_MS).transaction
    )  # the slot is done, and this write is lost
    assert freed is not None
    late_grant = step_on(freed, fleet, 0.0)
    assert (late_grant.to, late_grant.machine) == (Phase.GRANTED, "n2")
    other = apply(store, records.request_slots(read_slots(store), [replace_id(request("n1", urgent=False))]))
    assert other is not None and other.revision == freed.revision
    assert apply(other, late_grant.transaction) is None


def replace_id(slot: Slot) -> Slot:
    """The slot of another machine, which may be requested beside the stored ones."""
    return Slot(1, "t-n3", MachineKind.SOFTSWITCH, "n3", slot.zone, "", False, "n1", slot.reason, 0)


def test_maintenance_of_a_simulated_fleet_keeps_the_limits_and_is_nearly_as_fast_as_possible() -> None:
    limits = Limits(out=4, out_zone=2, out_cell=40, floor=0.5, drain_ms=2_000, settle_ms=1_000)
    result = roll(40, 3, limits, (5_000.0, 10_000.0), seed=3)
    assert result.most_out <= 4 and result.least_ready >= 0.9
    assert result.took_ms <= 1.35 * result.shortest_ms
