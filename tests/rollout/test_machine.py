"""A rollout over three softswitches as a state machine: kills, lost replies and stale reads in any order.

The real decisions on a store in memory. Beside the invariants of the head: no call is counted twice, whatever
restarts; nothing widens on evidence of a softswitch that has not told; a halted rollout stays halted.
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
from pearloom.rollout.evidence import Tally, added, stage_id
from pearloom.rollout.steps import RolloutStep, Seen, next_step
from pearloom.rules import head as heads
from pearloom.rules.head import Head, Operation, Request, Terms, follows, read_there
from pearloom.rules.records import EMPTY, Match, Prefer, Rule, RulesError, RuleSet

ZONES = {"n1": "a", "n2": "b", "n3": "b"}
TERMS = Terms(soak_ms=1_000, evidence_ms=30_000, least_calls=4, silent_ms=4_000, tell_ms=100)
names = st.sampled_from(sorted(ZONES))
ends = st.sampled_from([CallOutcome.STOOD, CallOutcome.STOOD, CallOutcome.LATE, CallOutcome.FAILED])


class Softswitch:
    """One process, in one life."""

    def __init__(self, name: str, life: int, now: float) -> None:
        self.name, self.life, self.began = name, life, now
        self.read = Snapshot(1, 0, ())
        self.obeyed: Head | None = None
        self.tally = Tally(("a",), 0, now, 1_000.0)
        self.told = self.counted = 0
        self.heard: dict[str, float] = {}

    def obey(self, now: float) -> None:
        head = read_there(self.read).head
        if head == self.obeyed or not follows(head, self.obeyed):
            return
        self.obeyed = head
        rollout = head.rollout
        mark = stage_id(rollout.id, rollout.stage) if rollout and rollout.goes_on else 0
        if mark != self.tally.stage:
            self.tally, self.began, self.told = Tally(("a",), mark, now, 1_000.0), now, 0
            self.heard = {}


class Machine(RuleBasedStateMachine):
    """Time goes on with each step."""

    blind = False  # a fault that is put in: the store compares nothing

    @initialize()
    def begin(self) -> None:
        self.now, self.life, self.edits = 0.0, 1, 0
        self.store = Snapshot(1, 1, ())
        self.fleet = {name: Softswitch(name, 1, 0.0) for name in ZONES}
        self.calls: dict[int, int] = {}  # made in each stage, by its mark
        self.highest, self.halted = 0, set[int]()

    def write(self, attempt: Transaction) -> bool:
        if self.blind:
            attempt = Transaction((), attempt.writes)
        after = apply(self.store, attempt)
        if after is None:
            return False
        before, self.store = read_there(self.store).head, after
        head = read_there(after).head
        if head != before:
            assert head.number == before.number + 1
            old, new = before.rollout, head.rollout
            if old and new and old.id == new.id:
                assert set(old.members) <= set(new.members) and new.stage >= old.stage
                assert old.goes_on or new.stage == old.stage
        return True

    @rule(name=names, passes=st.floats(0, 1_500))
    def reads(self, name: str, passes: float) -> None:
        self.now += passes
        one = self.fleet[name]
        one.read = self.store
        one.obey(self.now)
        told, _ = evidence.told(one.read, one.tally.stage)
        for other, _ in told:
            one.heard[other] = self.now

    @rule(name=names, ends=st.lists(ends, max_size=8))
    def takes_calls(self, name: str, ends: list[CallOutcome]) -> None:
        one = self.fleet[name]
        version = one.obeyed.runs(name) if one.obeyed else EMPTY
        for end in ends:
            one.tally.record_end(version, one.tally.arrival_mark(self.now), 0, end, 10.0, self.now)
        if one.tally.stage:
            self.calls[one.tally.stage] = self.calls.get(one.tally.stage, 0) + len(ends)

    @rule(name=names, lost=st.booleans())
    def tells(self, name: str, lost: bool) -> None:
        one = self.fleet[name]
        if not one.tally.stage:
            return
        key = evidence.key_of(name, one.life)
        held = one.read.find(key)
        value = one.tally.evidence(one.life, one.told + 1, ZONES[name], 0, self.now)
        write = Write(key, evidence.encode(value))
        if self.write(Transaction((Compare(key, held.mod_revision if held else 0),), (write,))) and not lost:
            one.told += 1
            one.read = self.store

    @rule(name=names)
    def confirms(self, name: str) -> None:
        one = self.fleet[name]
        if one.obeyed is not None:
            said = Confirmation(1, one.life, one.obeyed.number, one.obeyed.runs(name))
            attempt = confirm.confirm(one.read, name, said)
            if attempt is not None:
                self.write(attempt)

    @rule(name=names, stale=st.booleans())
    def looks(self, name: str, stale: bool) -> None:
        """A step from what it last read; stale: it slept since, and others wrote."""
        one = self.fleet[name]
        if not stale:
            self.reads(name, 0.0)
        there = read_there(one.read)
        if one.obeyed is None or there.head != one.obeyed or there.head.rollout is None:
            return
        told, _ = evidence.told(one.read, one.tally.stage)
        seen = Seen(self.now, one.began, one.heard, told, confirm.confirmations(one.read), ZONES)
        step = next_step(there, seen, Request(name, f"{name}-{self.now}", ""), one.obeyed.number)
        if step is not None:
            self.check(step, there.head, seen)
            self.write(step.attempt)

    def check(self, step: RolloutStep, head: Head, seen: Seen) -> None:
        assert head.rollout is not None and head.rollout.goes_on
        if step.did in (Operation.WIDENED, Operation.COMPLETED):
            told = {name for name, _ in seen.told}
            assert set(head.rollout.members) <= told, "nothing is widened on what nobody told"

    @rule(name=names)
    def is_born_again(self, name: str) -> None:
        self.life += 1
        self.fleet[name] = Softswitch(name, self.life, self.now)

    @rule(name=names, undo=st.booleans())
    def an_operator(self, name: str, undo: bool) -> None:
        one = self.fleet[name]
        there, asked = read_there(one.read), Request(name, f"o{self.now}", "")
        self.edits += 1
        rules = RuleSet(rules=(Rule(f"r{self.edits}", Prefer((1,)), Match()),))
        begun = stages.members(ZONES, there.head.number + 1, 0.0)
        try:
            if undo:
                attempt = heads.undo(there, asked)
            else:
                attempt = heads.propose(there, rules, asked, there.head.number, (0.0, 0.6), begun, TERMS)
        except RulesError:
            return
        self.write(attempt)

    @invariant()
    def no_call_is_counted_twice(self) -> None:
        for stage, made in self.calls.items():
            told, unreadable = evidence.told(self.store, stage)
            versions = [by for one in told.values() for by in one.versions.values()]
            rows = [row for by in versions for counts in by.values() for row in counts.ends]
            assert not unreadable and sum(added(rows)) <= made

    @invariant()
    def heads_only_grow_and_the_log_has_each(self) -> None:
        there = read_there(self.store)
        assert there.head.number >= self.highest and not there.unreadable
        self.highest = there.head.number
        logged = [one.number for one in there.log]
        assert logged == list(range(self.highest - len(logged) + 1, self.highest + 1))
        rollout = there.head.rollout
        if rollout is not None:
            assert not (rollout.goes_on and rollout.id in self.halted), "a halted rollout went on"
            if not rollout.goes_on:
                self.halted.add(rollout.id)


class Blind(Machine):
    """Every step goes through, on whatever it was computed from."""

    blind = True


MANY = settings(max_examples=250, stateful_step_count=50, deadline=None)
TestMachine = Machine.TestCase
TestMachine.settings = MANY


def test_the_machine_finds_a_store_that_compares_nothing() -> None:
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Blind, settings=settings(MANY, database=None, print_blob=False))
