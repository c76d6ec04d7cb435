"""The rules head: each row of its table of steps, and all interleavings of the steps of two softswitches."""

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
    MAX_LOG_ENTRIES,
    Head,
    HeadState,
    Operation,
    Request,
    Rollout,
    RolloutTerms,
    may_apply,
    read_head_state,
    rules_of,
)
from pearloom.rules.records import (
    EMPTY_VERSION,
    Match,
    Prefer,
    Rule,
    RulesError,
    RuleSet,
    canonical,
    version_of,
)

TERMS = RolloutTerms()


def rules(name: str) -> RuleSet:
    return RuleSet(rules=(Rule(name, Prefer((1,)), Match()),))


A, B = version_of(rules("a")), version_of(rules("b"))
REQUEST = Request("n1", "tag", "why", "author", 5)


class FakeStore:
    """A store in memory to which steps are applied one after the other."""

    def __init__(self) -> None:
        self.snapshot = Snapshot(1, 1, ())

    @property
    def state(self) -> HeadState:
        return read_head_state(self.snapshot)

    @property
    def head(self) -> Head:
        return self.state.head

    def commit(self, attempt: Transaction) -> None:
        after = apply(self.snapshot, attempt)
        assert after is not None, "no other writer interferes"
        self.snapshot = after

    def set_rules(self, name: str) -> None:
        self.commit(steps.propose(self.state, rules(name), REQUEST, self.head.number, (), (), TERMS))

    def start_rollout(self, name: str, shares: tuple[float, ...] = (0.0, 0.5)) -> None:
        self.commit(steps.propose(self.state, rules(name), REQUEST, self.head.number, shares, ("n1",), TERMS))


@pytest.fixture()
def store() -> FakeStore:
    return FakeStore()


def test_an_undo_of_an_undo_is_a_redo(store: FakeStore) -> None:
    store.set_rules("a")
    store.set_rules("b")
    for wanted in (A, B, A):
        store.commit(steps.undo(store.state, REQUEST))
        assert store.head.version == wanted
    assert [entry.write for entry in store.state.log] == [Operation.SET] * 2 + [Operation.UNDONE] * 3
    assert [entry.number for entry in store.state.log] == [1, 2, 3, 4, 5], "an undo appends to the history"


def test_undo_to_a_named_version_and_to_the_empty_one(store: FakeStore) -> None:
    store.set_rules("a")
    store.set_rules("b")
    store.commit(steps.undo(store.state, REQUEST, to=A))
    assert (store.head.version, store.head.before) == (A, B)
    with pytest.raises(RulesError, match="in force already"):
        steps.undo(store.state, REQUEST, to=A)
    with pytest.raises(RulesError, match="is not known"):
        steps.undo(store.state, REQUEST, to="f" * 32)
    store.commit(steps.undo(store.state, REQUEST, to=EMPTY_VERSION))
    assert store.head.version == EMPTY_VERSION and rules_of(store.snapshot, EMPTY_VERSION) == RuleSet()


def test_a_rollout_widens_stage_by_stage_and_completes(store: FakeStore) -> None:
    store.set_rules("a")
    store.start_rollout("b")
    assert (store.head.version_at("n1"), store.head.version_at("n2")) == (B, A)
    with pytest.raises(RulesError, match="not at its last stage"):
        steps.complete(store.state, REQUEST)
    store.commit(steps.widen(store.state, ("n2", "n3"), REQUEST))
    rollout = store.head.rollout
    assert rollout is not None and rollout.members == ("n1", "n2", "n3")
    with pytest.raises(RulesError, match="at its last stage"):
        steps.widen(store.state, ("n4",), REQUEST)
    store.commit(steps.complete(store.state, REQUEST))
    assert (store.head.version, store.head.before, store.head.rollout) == (B, A, None)
    store.commit(steps.undo(store.state, REQUEST))
    assert store.head.version == A


@pytest.mark.parametrize("stay", [False, True])
def test_a_halted_rollout_never_widens_and_its_members_return_unless_it_says_stay(
    store: FakeStore, stay: bool
) -> None:
    store.commit(steps.propose(store.state, rules("b"), REQUEST, 0, (0.0, 0.5), ("n1",), TERMS, stay))
    store.commit(steps.halt(store.state, Request("n2", "t", "worse")))
    assert store.head.rollout is not None and store.head.rollout.halted == "worse"
    assert store.head.version_at("n1") == (B if stay else EMPTY_VERSION)
    with pytest.raises(RulesError, match="no rollout is under way"):
        steps.widen(store.state, ("n2",), REQUEST)
    with pytest.raises(RulesError, match="no rollout is under way"):
        steps.halt(store.state, REQUEST)
    store.commit(steps.undo(store.state, REQUEST))
    head = store.head
    assert head.version == EMPTY_VERSION and head.rollout is None


def test_a_second_proposal_is_refused_with_the_first_named(store: FakeStore) -> None:
    store.start_rollout("a")
    for shares in ((), (0.0,)):
        with pytest.raises(RulesError, match=f"rollout 1 of version {A} by author is under way"):
            steps.propose(store.state, rules("b"), REQUEST, 1, shares, ("n1",), TERMS)
    store.commit(steps.halt(store.state, REQUEST))
    store.start_rollout("b")
    assert store.head.rollout is not None and store.head.rollout.id == 3


def test_edits_of_an_unexpected_head_and_to_the_version_in_force_are_refused(store: FakeStore) -> None:
    store.set_rules("a")
    with pytest.raises(RulesError, match=f"the head is 1 \\(version {A}\\), not 0"):
        steps.propose(store.state, rules("b"), REQUEST, 0, (), (), TERMS)
    with pytest.raises(RulesError, match="not 7"):
        steps.undo(store.state, REQUEST, 7)
    with pytest.raises(RulesError, match="in force already"):
        steps.propose(store.state, rules("a"), REQUEST, 1, (), (), TERMS)


def test_log_and_versions_are_bounded_and_versions_of_the_head_are_kept(store: FakeStore) -> None:
    for index in range(3 * MAX_LOG_ENTRIES):
        store.set_rules(f"r{index}")
    assert len(store.snapshot.with_prefix(steps.LOG_PREFIX)) <= MAX_LOG_ENTRIES + 1
    assert len(store.snapshot.with_prefix(steps.VERSIONS_PREFIX)) <= MAX_LOG_ENTRIES + 3
    assert rules_of(store.snapshot, store.head.version) and rules_of(store.snapshot, store.head.before)


def test_after_a_store_lost_writes_the_next_number_exceeds_the_one_seen(store: FakeStore) -> None:
    store.set_rules("a")
    before_loss = store.snapshot
    store.set_rules("b")
    seen, store.snapshot = store.head, before_loss
    assert not may_apply(store.head, seen) and may_apply(seen, seen)
    store.commit(steps.undo(store.state, REQUEST, highest_seen=seen.number))
    assert may_apply(store.head, seen) and store.head.number == 3
    assert not may_apply(msgspec.structs.replace(seen, tag="another"), seen)


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
        msgspec.json.encode(Head(rollout=Rollout(1, A, (0.1,), 0, terms=RolloutTerms(tell_ms=0)))),
        msgspec.json.encode(Head(rollout=Rollout(1, A, (0.1,), 0, terms=RolloutTerms(rate=0)))),
    ],
)
def test_an_unusable_head_is_reported_and_no_step_is_based_on_it(value: bytes) -> None:
    state = read_head_state(Snapshot(1, 3, (Entry("rules/head", value, 2, 2),)))
    assert state.unreadable == ("rules/head",) and not state.is_readable
    with pytest.raises(RulesError, match="can't be read"):
        steps.undo(state, REQUEST)
    with pytest.raises(RulesError, match="can't be read"):
        steps.propose(state, rules("a"), REQUEST, 0, (), (), TERMS)


def test_rules_that_do_not_match_their_version_name_are_not_used() -> None:
    entries = (
        Entry("rules/versions/" + A, canonical(rules("b")), 1, 1),
        Entry("rules/versions/" + B, b"{", 1, 1),
    )
    store = Snapshot(1, 1, entries)
    assert rules_of(store, A) is None and rules_of(store, B) is None and rules_of(store, "f" * 32) is None


@dataclass(frozen=True)
class Node:
    """One softswitch: its last read, its pending attempt, its applied head, and whether its process runs."""

    read: Snapshot
    pending: Transaction | None = None
    applied: Head | None = None
    is_awake: bool = True


@dataclass(frozen=True)
class World:
    """One state of the exploration; `failures` and `edits` are the numbers that may still happen."""

    store: Snapshot
    nodes: tuple[Node, Node]
    failures: int
    edits: int


def possible_attempts(node: Node, world: World) -> Iterator[tuple[str, Transaction]]:
    state = read_head_state(node.read)
    rollout, number = state.head.rollout, state.head.number
    seen = node.applied.number if node.applied else 0
    if rollout is not None and rollout.is_active:
        yield "halt", steps.halt(state, Request("n", "h", "worse"), seen)
        yield (
            "widen",
            steps.complete(state, REQUEST, seen)
            if rollout.is_last_stage
            else steps.widen(state, ("n2",), REQUEST, seen),
        )
    if world.edits:
        yield "undo", steps.undo(state, REQUEST, highest_seen=seen)
        if rollout is None or not rollout.is_active:
            new_rules = rules(f"v{world.edits}")
            yield (
                "propose",
                steps.propose(
                    state, new_rules, REQUEST, number, (0.0, 0.5), ("n1",), TERMS, highest_seen=seen
                ),
            )


def next_worlds(world: World, defect: str) -> Iterator[tuple[str, World]]:
    for index, node in enumerate(world.nodes):

        def with_node(changed: Node, index: int = index, **more: object) -> World:
            nodes = list(world.nodes)
            nodes[index] = changed
            return replace(world, nodes=(nodes[0], nodes[1]), **more)  # type: ignore[arg-type]

        if not node.is_awake:
            yield f"{index} wakes", with_node(replace(node, is_awake=True))
            continue
        if node.pending is not None:
            attempt_tried = node.pending
            if defect == "no compare":
                attempt_tried = Transaction((), attempt_tried.writes)
            elif defect == "no value":
                attempt_tried = Transaction(
                    tuple(Compare(compare.key, compare.mod_revision) for compare in attempt_tried.compares),
                    attempt_tried.writes,
                )
            after = apply(world.store, attempt_tried)
            idle = replace(node, pending=None)
            yield (
                f"{index} is answered",
                with_node(replace(idle, read=after or world.store), store=after or world.store),
            )
            if after is not None and world.failures:
                yield f"{index}'s reply is lost", with_node(idle, store=after, failures=world.failures - 1)
            if world.failures:
                yield f"{index} sleeps", with_node(replace(node, is_awake=False), failures=world.failures - 1)
            continue
        if node.read != world.store:
            yield f"{index} reads", with_node(replace(node, read=world.store))
        head = read_head_state(node.read).head
        if head != node.applied and (may_apply(head, node.applied) or defect == "no may_apply"):
            yield f"{index} applies the head", with_node(replace(node, applied=head))
        if world.store.revision < 6:
            try:
                for step, attempt in possible_attempts(node, world):
                    edits = world.edits - (step in ("undo", "propose"))
                    yield f"{index} tries {step}", with_node(replace(node, pending=attempt), edits=edits)
            except RulesError:
                pass
    if defect == "no may_apply" or world.failures:
        behind = next(
            (candidate for candidate in world.nodes if candidate.read.revision < world.store.revision), None
        )
        if behind is not None and world.failures:
            # The store returns to an earlier state that a node has read, and reuses its revisions.
            yield "the store loses writes", replace(world, store=behind.read, failures=world.failures - 1)


def explore(defect: str = "", failures: int = 1, edits: int = 1) -> tuple[int, str]:
    """Explore all reachable states; returns their number and the first violation."""
    store = FakeStore()
    store.set_rules("a")
    store.start_rollout("b")
    start = World(store.snapshot, (Node(store.snapshot), Node(store.snapshot)), failures, edits)
    seen, queue = {start}, deque([start])
    while queue:
        world = queue.popleft()
        for move, next_world in next_worlds(world, defect):
            violation = find_violation(world, next_world)
            if violation:
                return len(seen), f"{move}: {violation}"
            if next_world not in seen:
                seen.add(next_world)
                queue.append(next_world)
    return len(seen), ""


def find_violation(world: World, next_world: World) -> str:
    old, new = read_head_state(world.store).head, read_head_state(next_world.store).head
    was_written = next_world.store.revision > world.store.revision
    if was_written and new.number <= old.number:
        return f"head {new.number} after {old.number}"
    if was_written and new.number != old.number + 1 and not any(old_node.applied for old_node in world.nodes):
        return "a number was skipped"
    if (
        was_written
        and old.rollout
        and new.rollout
        and old.rollout.id == new.rollout.id
        and old.rollout.halted
    ):
        return "a halted rollout continued"
    for old_node, new_node in zip(world.nodes, next_world.nodes, strict=True):
        if old_node.applied and new_node.applied and new_node.applied.number < old_node.applied.number:
            return "a softswitch returned to an older head"
    return ""


def test_in_any_order_heads_only_grow_and_no_halted_rollout_widens() -> None:
    states, violation = explore()
    assert violation == ""
    assert states > 10_000


@pytest.mark.parametrize("defect", ["no compare", "no value", "no may_apply"])
def test_the_exploration_finds_an_injected_defect(defect: str) -> None:
    assert explore(defect)[1] != ""


def test_a_lost_reply_is_resolved_from_the_store() -> None:
    store = FakeStore()
    attempt = steps.propose(store.state, rules("a"), REQUEST, 0, (), (), TERMS)
    assert took_effect(attempt, attempt.compares, store.snapshot) is False
    store.commit(attempt)
    assert took_effect(attempt, attempt.compares, store.snapshot) is True
