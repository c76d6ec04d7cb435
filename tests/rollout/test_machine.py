"""A rollout over three softswitches as a state machine: restarts, lost replies and stale reads in any order.

Runs the real decisions on a store in memory. Checks the invariants of the head, and that no call is counted
twice after restarts, that no stage widens before all its members have published, and that a halted rollout
stays halted.
"""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from pearloom.coordination.port import Compare, Snapshot, Transaction, Write
from pearloom.core.outcomes import CallOutcome
from pearloom.fakes.fleet.simulation import apply
from pearloom.rollout import confirm, evidence, stages
from pearloom.rollout.confirm import Confirmation
from pearloom.rollout.evidence import Tally, stage_id, sum_counts
from pearloom.rollout.steps import RolloutStep, StageObservation, next_step
from pearloom.rules import head as heads
from pearloom.rules.head import Head, Operation, Request, RolloutTerms, may_apply, read_head_state
from pearloom.rules.records import EMPTY_VERSION, Match, Prefer, Rule, RulesError, RuleSet

ZONES = {"n1": "a", "n2": "b", "n3": "b"}
TERMS = RolloutTerms(soak_ms=1_000, evidence_ms=30_000, least_calls=4, silent_ms=4_000, tell_ms=100)
softswitch_names = st.sampled_from(sorted(ZONES))
some_outcomes = st.sampled_from([CallOutcome.STOOD, CallOutcome.STOOD, CallOutcome.LATE, CallOutcome.FAILED])


class Softswitch:
    """One incarnation of a softswitch's process."""

    def __init__(self, name: str, incarnation: int, now_ms: float) -> None:
        self.name, self.incarnation, self.stage_start_ms = name, incarnation, now_ms
        self.snapshot = Snapshot(1, 0, ())
        self.applied: Head | None = None
        self.tally = Tally(("a",), 0, now_ms, 1_000.0)
        self.sequence = self.counted = 0
        self.last_published_ms: dict[str, float] = {}

    def apply_head(self, now_ms: float) -> None:
        head = read_head_state(self.snapshot).head
        if head == self.applied or not may_apply(head, self.applied):
            return
        self.applied = head
        rollout = head.rollout
        mark = stage_id(rollout.id, rollout.stage) if rollout and rollout.is_active else 0
        if mark != self.tally.stage_id:
            self.tally, self.stage_start_ms, self.sequence = Tally(("a",), mark, now_ms, 1_000.0), now_ms, 0
            self.last_published_ms = {}


class RolloutMachine(RuleBasedStateMachine):
    """The fleet and its store; time advances with the reads."""

    compares_nothing = False  # injected defect: the store ignores the compares of a transaction

    @initialize()
    def begin(self) -> None:
        self.now_ms, self.incarnation, self.edits = 0.0, 1, 0
        self.store = Snapshot(1, 1, ())
        self.fleet = {name: Softswitch(name, 1, 0.0) for name in ZONES}
        self.calls: dict[int, int] = {}  # calls made, by stage id
        self.highest_number, self.halted_rollouts = 0, set[int]()

    def commit(self, transaction: Transaction) -> bool:
        if self.compares_nothing:
            transaction = Transaction((), transaction.writes)
        after = apply(self.store, transaction)
        if after is None:
            return False
        before, self.store = read_head_state(self.store).head, after
        head = read_head_state(after).head
        if head != before:
            assert head.number == before.number + 1
            old, new = before.rollout, head.rollout
            if old and new and old.id == new.id:
                assert set(old.members) <= set(new.members) and new.stage >= old.stage
                assert old.is_active or new.stage == old.stage
        return True

    @rule(name=softswitch_names, elapsed_ms=st.floats(0, 1_500))
    def reads_the_store(self, name: str, elapsed_ms: float) -> None:
        self.now_ms += elapsed_ms
        softswitch = self.fleet[name]
        softswitch.snapshot = self.store
        softswitch.apply_head(self.now_ms)
        published, _ = evidence.read_evidence(softswitch.snapshot, softswitch.tally.stage_id)
        for publisher, _ in published:
            softswitch.last_published_ms[publisher] = self.now_ms

    @rule(name=softswitch_names, outcomes=st.lists(some_outcomes, max_size=8))
    def takes_calls(self, name: str, outcomes: list[CallOutcome]) -> None:
        softswitch = self.fleet[name]
        version = softswitch.applied.version_at(name) if softswitch.applied else EMPTY_VERSION
        for outcome in outcomes:
            softswitch.tally.record_end(
                version, softswitch.tally.arrival_mark(self.now_ms), 0, outcome, 10.0, self.now_ms
            )
        if softswitch.tally.stage_id:
            self.calls[softswitch.tally.stage_id] = self.calls.get(softswitch.tally.stage_id, 0) + len(
                outcomes
            )

    @rule(name=softswitch_names, reply_lost=st.booleans())
    def publishes(self, name: str, reply_lost: bool) -> None:
        softswitch = self.fleet[name]
        if not softswitch.tally.stage_id:
            return
        key = evidence.evidence_key(name, softswitch.incarnation)
        stored = softswitch.snapshot.find(key)
        value = softswitch.tally.evidence(
            softswitch.incarnation, softswitch.sequence + 1, ZONES[name], 0, self.now_ms
        )
        write = Write(key, evidence.encode(value))
        if (
            self.commit(Transaction((Compare(key, stored.mod_revision if stored else 0),), (write,)))
            and not reply_lost
        ):
            softswitch.sequence += 1
            softswitch.snapshot = self.store

    @rule(name=softswitch_names)
    def confirms(self, name: str) -> None:
        softswitch = self.fleet[name]
        if softswitch.applied is not None:
            confirmation = Confirmation(
                1, softswitch.incarnation, softswitch.applied.number, softswitch.applied.version_at(name)
            )
            transaction = confirm.confirmation_transaction(softswitch.snapshot, name, confirmation)
            if transaction is not None:
                self.commit(transaction)

    @rule(name=softswitch_names, is_stale=st.booleans())
    def judges_the_stage(self, name: str, is_stale: bool) -> None:
        """Attempt the next step by the last read; stale: the process was suspended and others wrote since."""
        softswitch = self.fleet[name]
        if not is_stale:
            self.reads_the_store(name, 0.0)
        state = read_head_state(softswitch.snapshot)
        if softswitch.applied is None or state.head != softswitch.applied or state.head.rollout is None:
            return
        published, _ = evidence.read_evidence(softswitch.snapshot, softswitch.tally.stage_id)
        observation = StageObservation(
            self.now_ms, softswitch.stage_start_ms, softswitch.last_published_ms, published,
            confirm.confirmations(softswitch.snapshot), ZONES,
        )  # fmt: skip
        step = next_step(
            state, observation, Request(name, f"{name}-{self.now_ms}", ""), softswitch.applied.number
        )
        if step is not None:
            self.check(step, state.head, observation)
            self.commit(step.transaction)

    def check(self, step: RolloutStep, head: Head, observation: StageObservation) -> None:
        assert head.rollout is not None and head.rollout.is_active
        if step.operation in (Operation.WIDENED, Operation.COMPLETED):
            publishers = {name for name, _ in observation.evidence}
            assert (
                set(head.rollout.members) <= publishers
            ), "no stage widens before all its members have published"

    @rule(name=softswitch_names)
    def restarts(self, name: str) -> None:
        self.incarnation += 1
        self.fleet[name] = Softswitch(name, self.incarnation, self.now_ms)

    @rule(name=softswitch_names, undo=st.booleans())
    def operator_edits(self, name: str, undo: bool) -> None:
        softswitch = self.fleet[name]
        state, request = read_head_state(softswitch.snapshot), Request(name, f"o{self.now_ms}", "")
        self.edits += 1
        rules = RuleSet(rules=(Rule(f"r{self.edits}", Prefer((1,)), Match()),))
        members = stages.members(ZONES, state.head.number + 1, 0.0)
        try:
            if undo:
                transaction = heads.undo(state, request)
            else:
                transaction = heads.propose(
                    state, rules, request, state.head.number, (0.0, 0.6), members, TERMS
                )
        except RulesError:
            return
        self.commit(transaction)

    @invariant()
    def no_call_is_counted_twice(self) -> None:
        for stage, calls_made in self.calls.items():
            published, unreadable = evidence.read_evidence(self.store, stage)
            versions = [by_class for value in published.values() for by_class in value.versions.values()]
            rows = [row for by_class in versions for counts in by_class.values() for row in counts.ends]
            assert not unreadable and sum(sum_counts(rows)) <= calls_made

    @invariant()
    def heads_only_grow_and_the_log_has_all(self) -> None:
        state = read_head_state(self.store)
        assert state.head.number >= self.highest_number and not state.unreadable
        self.highest_number = state.head.number
        numbers = [entry.number for entry in state.log]
        assert numbers == list(range(self.highest_number - len(numbers) + 1, self.highest_number + 1))
        rollout = state.head.rollout
        if rollout is not None:
            assert not (
                rollout.is_active and rollout.id in self.halted_rollouts
            ), "a halted rollout continued"
            if not rollout.is_active:
                self.halted_rollouts.add(rollout.id)


class StoreWithoutCompares(RolloutMachine):
    """A store on which every transaction succeeds, even if it is based on stale data."""

    compares_nothing = True


MANY_EXAMPLES = settings(max_examples=250, stateful_step_count=50, deadline=None)
TestMachine = RolloutMachine.TestCase
TestMachine.settings = MANY_EXAMPLES


def test_the_state_machine_detects_a_store_that_ignores_compares() -> None:
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            StoreWithoutCompares, settings=settings(MANY_EXAMPLES, database=None, print_blob=False)
        )
