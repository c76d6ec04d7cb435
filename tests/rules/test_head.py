"""The head of the rules: each cell of its table, and every order in which two softswitches may step on it."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

import msgspec
import pytest

from pearloom.coordination.port import Compare, Entry, Snapshot, Transaction, took_effect
from pearloom.fakes.fleet.simulation import apply
from pearloom.rules import head as steps
from pearloom.rules.head import (
    KEPT,
    Head,
    HeadState,
    Operation,
    Request,
    Rollout,
    Terms,
    follows,
    read_there,
    rules_of,
)
from pearloom.rules.records import EMPTY, Match, Prefer, Rule, RulesError, RuleSet, canonical, version_of

TERMS = Terms()


def rules(name: str) -> RuleSet:
    return RuleSet(rules=(Rule(name, Prefer((1,)), Match()),))


A, B = version_of(rules("a")), version_of(rules("b"))
ME = Request("n1", "tag", "why", "author", 5)


class Fleet:
    """A store on which steps are tried one after the other."""

    def __init__(self) -> None:
        self.store = Snapshot(1, 1, ())

    @property
    def there(self) -> HeadState:
        return read_there(self.store)

    @property
    def head(self) -> Head:
        return self.there.head

    def do(self, attempt: Transaction) -> None:
        after = apply(self.store, attempt)
        assert after is not None, "nobody else writes"
        self.store = after

    def set(self, name: str) -> None:
        self.do(steps.propose(self.there, rules(name), ME, self.head.number, (), (), TERMS))

    def roll(self, name: str, shares: tuple[float, ...] = (0.0, 0.5)) -> None:
        self.do(steps.propose(self.there, rules(name), ME, self.head.number, shares, ("n1",), TERMS))


@pytest.fixture()
def fleet() -> Fleet:
    return Fleet()


def test_an_undo_of_an_undo_is_a_redo(fleet: Fleet) -> None:
    fleet.set("a")
    fleet.set("b")
    for wanted in (A, B, A):
        fleet.do(steps.undo(fleet.there, ME))
        assert fleet.head.version == wanted
    assert [one.write for one in fleet.there.log] == [Operation.SET] * 2 + [Operation.UNDONE] * 3
    assert [one.number for one in fleet.there.log] == [1, 2, 3, 4, 5], "history is added to"


def test_undo_to_a_named_version_and_to_none(fleet: Fleet) -> None:
    fleet.set("a")
    fleet.set("b")
    fleet.do(steps.undo(fleet.there, ME, to=A))
    assert (fleet.head.version, fleet.head.before) == (A, B)
    with pytest.raises(RulesError, match="in force already"):
        steps.undo(fleet.there, ME, to=A)
    with pytest.raises(RulesError, match="is not known"):
        steps.undo(fleet.there, ME, to="f" * 32)
    fleet.do(steps.undo(fleet.there, ME, to=EMPTY))
    assert fleet.head.version == EMPTY and rules_of(fleet.store, EMPTY) == RuleSet()


def test_a_rollout_goes_from_stage_to_stage_and_completes(fleet: Fleet) -> None:
    fleet.set("a")
    fleet.roll("b")
    assert (fleet.head.runs("n1"), fleet.head.runs("n2")) == (B, A)
    with pytest.raises(RulesError, match="not at its last stage"):
        steps.complete(fleet.there, ME)
    fleet.do(steps.widen(fleet.there, ("n2", "n3"), ME))
    rollout = fleet.head.rollout
    assert rollout is not None and rollout.members == ("n1", "n2", "n3")
    with pytest.raises(RulesError, match="at its last stage"):
        steps.widen(fleet.there, ("n4",), ME)
    fleet.do(steps.complete(fleet.there, ME))
    assert (fleet.head.version, fleet.head.before, fleet.head.rollout) == (B, A, None)
    fleet.do(steps.undo(fleet.there, ME))
    assert fleet.head.version == A


@pytest.mark.parametrize("stay", [False, True])
def test_a_halted_rollout_goes_no_wider_and_its_stage_goes_back_unless_it_is_to_stay(
    fleet: Fleet, stay: bool
) -> None:
    fleet.do(steps.propose(fleet.there, rules("b"), ME, 0, (0.0, 0.5), ("n1",), TERMS, stay))
    fleet.do(steps.halt(fleet.there, Request("n2", "t", "worse")))
    assert fleet.head.rollout is not None and fleet.head.rollout.halted == "worse"
    assert fleet.head.runs("n1") == (B if stay else EMPTY)
    with pytest.raises(RulesError, match="no rollout is under way"):
        steps.widen(fleet.there, ("n2",), ME)
    with pytest.raises(RulesError, match="no rollout is under way"):
        steps.halt(fleet.there, ME)
    fleet.do(steps.undo(fleet.there, ME))
    gone = fleet.head
    assert gone.version == EMPTY and gone.rollout is None


def test_a_second_proposal_is_told_of_the_first(fleet: Fleet) -> None:
    fleet.roll("a")
    for shares in ((), (0.0,)):
        with pytest.raises(RulesError, match=f"rollout 1 of version {A} by author is under way"):
            steps.propose(fleet.there, rules("b"), ME, 1, shares, ("n1",), TERMS)
    fleet.do(steps.halt(fleet.there, ME))
    fleet.roll("b")
    assert fleet.head.rollout is not None and fleet.head.rollout.id == 3


def test_edits_on_another_head_than_expected_and_of_what_is_in_force_are_refused(fleet: Fleet) -> None:
    fleet.set("a")
    with pytest.raises(RulesError, match=f"the head is 1 \\(version {A}\\), not 0"):
        steps.propose(fleet.there, rules("b"), ME, 0, (), (), TERMS)
    with pytest.raises(RulesError, match="not 7"):
        steps.undo(fleet.there, ME, 7)
    with pytest.raises(RulesError, match="in force already"):
        steps.propose(fleet.there, rules("a"), ME, 1, (), (), TERMS)


def test_log_and_versions_stay_bounded_and_what_the_head_names_is_kept(fleet: Fleet) -> None:
    for at in range(3 * KEPT):
        fleet.set(f"r{at}")
    assert len(fleet.store.with_prefix(steps.LOG)) <= KEPT + 1
    assert len(fleet.store.with_prefix(steps.VERSIONS)) <= KEPT + 3
    assert rules_of(fleet.store, fleet.head.version) and rules_of(fleet.store, fleet.head.before)


def test_a_number_that_was_seen_is_passed_after_a_store_lost_its_writes(fleet: Fleet) -> None:
    fleet.set("a")
    kept = fleet.store
    fleet.set("b")
    seen, fleet.store = fleet.head, kept
    assert not follows(fleet.head, seen) and follows(seen, seen)
    fleet.do(steps.undo(fleet.there, ME, seen=seen.number))
    assert follows(fleet.head, seen) and fleet.head.number == 3
    assert not follows(msgspec.structs.replace(seen, tag="another"), seen)


@pytest.mark.parametrize(
    "value",
    [
        b"{",
        b"[]",
        b'{"format": 2}',
        b'{"number": -1}',
        b'{"version": "x"}',
        b'{"colour": 1}',
        msgspec.json.encode(Head(rollout=Rollout(1, A, (), 0))),
        msgspec.json.encode(Head(rollout=Rollout(1, A, (0.1,), 1))),
        msgspec.json.encode(Head(rollout=Rollout(1, A, (0.1,), 0, terms=Terms(tell_ms=0)))),
        msgspec.json.encode(Head(rollout=Rollout(1, A, (0.1,), 0, terms=Terms(rate=0)))),
    ],
)
def test_a_head_that_cannot_be_used_is_named_and_nothing_is_built_on_it(value: bytes) -> None:
    there = read_there(Snapshot(1, 3, (Entry("rules/head", value, 2, 2),)))
    assert there.unreadable == ("rules/head",) and not there.readable
    with pytest.raises(RulesError, match="can't be read"):
        steps.undo(there, ME)
    with pytest.raises(RulesError, match="can't be read"):
        steps.propose(there, rules("a"), ME, 0, (), (), TERMS)


def test_rules_that_are_not_what_their_name_says_are_not_used() -> None:
    entries = (
        Entry("rules/versions/" + A, canonical(rules("b")), 1, 1),
        Entry("rules/versions/" + B, b"{", 1, 1),
    )
    store = Snapshot(1, 1, entries)
    assert rules_of(store, A) is None and rules_of(store, B) is None and rules_of(store, "f" * 32) is None


# --- every order of what may happen -------------------------------------------------------------------------
@dataclass(frozen=True)
class Node:
    """One softswitch: what it last read, what it is about to try, what it obeys, whether it sleeps."""

    read: Snapshot
    trying: Transaction | None = None
    obeyed: Head | None = None
    awake: bool = True


@dataclass(frozen=True)
class World:
    store: Snapshot
    nodes: tuple[Node, Node]
    faults: int
    edits: int


def attempts(node: Node, world: World) -> Iterator[tuple[str, Transaction]]:
    there = read_there(node.read)
    rollout, number = there.head.rollout, there.head.number
    seen = node.obeyed.number if node.obeyed else 0
    if rollout is not None and rollout.goes_on:
        yield "halt", steps.halt(there, Request("n", "h", "worse"), seen)
        yield (
            "widen",
            steps.complete(there, ME, seen) if rollout.last else steps.widen(there, ("n2",), ME, seen),
        )
    if world.edits:
        yield "undo", steps.undo(there, ME, seen=seen)
        if rollout is None or not rollout.goes_on:
            made = rules(f"v{world.edits}")
            yield "propose", steps.propose(there, made, ME, number, (0.0, 0.5), ("n1",), TERMS, seen=seen)


def moves(world: World, broken: str) -> Iterator[tuple[str, World]]:
    for at, node in enumerate(world.nodes):

        def put(changed: Node, at: int = at, **more: object) -> World:
            nodes = list(world.nodes)
            nodes[at] = changed
            return replace(world, nodes=(nodes[0], nodes[1]), **more)  # type: ignore[arg-type]

        if not node.awake:
            yield f"{at} wakes", put(replace(node, awake=True))
            continue
        if node.trying is not None:
            tried = node.trying
            if broken == "no compare":
                tried = Transaction((), tried.writes)
            elif broken == "no value":
                tried = Transaction(
                    tuple(Compare(one.key, one.mod_revision) for one in tried.compares), tried.writes
                )
            after = apply(world.store, tried)
            done = replace(node, trying=None)
            yield (
                f"{at} is answered",
                put(replace(done, read=after or world.store), store=after or world.store),
            )
            if after is not None and world.faults:
                yield f"{at}'s reply is lost", put(done, store=after, faults=world.faults - 1)
            if world.faults:
                yield f"{at} sleeps", put(replace(node, awake=False), faults=world.faults - 1)
            continue
        if node.read != world.store:
            yield f"{at} reads", put(replace(node, read=world.store))
        head = read_there(node.read).head
        if head != node.obeyed and (follows(head, node.obeyed) or broken == "no follows"):
            yield f"{at} obeys", put(replace(node, obeyed=head))
        if world.store.revision < 6:
            try:
                for what, attempt in attempts(node, world):
                    edits = world.edits - (what in ("undo", "propose"))
                    yield f"{at} tries {what}", put(replace(node, trying=attempt), edits=edits)
            except RulesError:
                pass
    if broken == "no follows" or world.faults:
        first = next((one for one in world.nodes if one.read.revision < world.store.revision), None)
        if first is not None and world.faults:
            # It comes back as one of them last read it: its revisions are given again, to other writes.
            yield "the store loses writes", replace(world, store=first.read, faults=world.faults - 1)


def explore(broken: str = "", faults: int = 1, edits: int = 1) -> tuple[int, str]:
    """All states there are; returns how many, and the first break."""
    fleet = Fleet()
    fleet.set("a")
    fleet.roll("b")
    start = World(fleet.store, (Node(fleet.store), Node(fleet.store)), faults, edits)
    seen, todo = {start}, deque([start])
    while todo:
        world = todo.popleft()
        for what, after in moves(world, broken):
            trouble = breaks(world, after)
            if trouble:
                return len(seen), f"{what}: {trouble}"
            if after not in seen:
                seen.add(after)
                todo.append(after)
    return len(seen), ""


def breaks(before: World, after: World) -> str:
    old, new = read_there(before.store).head, read_there(after.store).head
    grown = after.store.revision > before.store.revision
    if grown and new.number <= old.number:
        return f"head {new.number} after {old.number}"
    if grown and new.number != old.number + 1 and not any(one.obeyed for one in before.nodes):
        return "a number was left out"
    if grown and old.rollout and new.rollout and old.rollout.id == new.rollout.id and old.rollout.halted:
        return "a halted rollout went on"
    for one, two in zip(before.nodes, after.nodes, strict=True):
        if one.obeyed and two.obeyed and two.obeyed.number < one.obeyed.number:
            return "a softswitch went back to an older head"
    return ""


def test_heads_only_grow_and_no_halted_rollout_widens_in_any_order() -> None:
    states, trouble = explore()
    assert trouble == ""
    assert states > 10_000


@pytest.mark.parametrize("broken", ["no compare", "no value", "no follows"])
def test_the_exploration_finds_a_fault_that_is_put_in(broken: str) -> None:
    assert explore(broken)[1] != ""


def test_a_lost_reply_is_told_as_won_or_lost() -> None:
    fleet = Fleet()
    attempt = steps.propose(fleet.there, rules("a"), ME, 0, (), (), TERMS)
    assert took_effect(attempt, attempt.compares, fleet.store) is False
    fleet.do(attempt)
    assert took_effect(attempt, attempt.compares, fleet.store) is True
