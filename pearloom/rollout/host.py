"""Takes part in rollouts at one softswitch: counts, tells, confirms, looks, and tries the next step.

What to do is decided in `steps.py`, `judge.py` and `guard.py`. A call's way only counts; all that waits for
the store does so in greenlets of this file.
"""

from __future__ import annotations

import logging
import secrets
import time
from collections.abc import Callable

import gevent
from gevent.event import Event

from pearloom.coordination import Compare, Link, Outcome, Snapshot, Transaction, Write
from pearloom.coordination.timing import contention_delay_ms, rank
from pearloom.core.counters import Counters
from pearloom.core.logs import log_event, log_exception
from pearloom.core.outcomes import CallOutcome
from pearloom.membership.host import MemberHost
from pearloom.rollout import confirm, evidence, stages, steps
from pearloom.rollout.confirm import Confirmation, ConfirmationStatus
from pearloom.rollout.evidence import BUCKETS_PER_STAGE, Evidence, Tally, rollout_of, stage_id
from pearloom.rollout.guard import LocalGuard
from pearloom.rollout.judge import Judgement
from pearloom.rules.head import Head, HeadState, Operation, Request, Rollout
from pearloom.rules.host import RulesHost

LOOK_S = 0.1
LISTEN_MS = 250.0  # between two looks at who has told something
MOST_LOOKS = 10  # x the time between looks: so seldom judges the last one in a stage's order
HALTED_MS = 60_000.0  # no turn begins for so long after a halt
CONFIRM_AGAIN_S = 0.1
CONFIRM_SPREAD_S = 0.005  # x the softswitches: over so long their confirmations of one head are spread


class RolloutHost:
    """One softswitch's part; `broken` gives how many decisions broke in this life."""

    def __init__(
        self,
        link: Link,
        member: MemberHost,
        rules: RulesHost,
        counters: Counters,
        zone: str,
        broken: Callable[[], int],
        now_ms: Callable[[], float],
    ) -> None:
        """Takes no part before `start`."""
        self._link, self._member, self._rules, self._counters = link, member, rules, counters
        self._zone, self._broken, self._now_ms = zone, broken, now_ms
        classes = rules.context.classes
        self._own = LocalGuard(classes)
        self._tally = Tally(classes, 0, now_ms(), 1.0)
        self._began_ms = self._told_ms = self._looked_ms = now_ms()
        self._told = self._broken_before = 0
        self._why_left = ""
        self._heard: dict[str, tuple[tuple[int, int], float]] = {}
        self._numbers: dict[str, int] = {}  # what each softswitch had told when the store was last fresh
        self._away_ms = self._listened_ms = 0.0
        self._blind_ms = self._halted_ms = float("-inf")
        self._tried: tuple[str, float] = ("", 0.0)
        self._confirms = Event()
        rules.marked = lambda: self._tally.arrival_mark(self._now_ms())
        rules.tallied = self._ended
        rules.on_obeyed.append(self._obeyed)

    def start(self) -> None:
        """Take part from now on."""
        gevent.spawn(self._run, self._look, LOOK_S, "rollout_failed")
        gevent.spawn(self._run, self._confirm, CONFIRM_AGAIN_S, "confirm_failed")

    def _run(self, write: Callable[[], None], pause_s: float, event: str) -> None:
        while True:
            try:
                write()
            except Exception:
                log_exception(event)
            gevent.sleep(pause_s)

    # --- counting -------------------------------------------------------------------------------------------
    def _ended(self, version: str, mark: int, kind: int, end: CallOutcome, took_ms: float) -> None:
        now = self._now_ms()
        self._tally.record_end(version, mark, kind, end, took_ms, now)
        self._own.ended(version, kind, end, now)

    def _obeyed(self) -> None:
        """The head, or what is gone by here, changed: a new stage is counted from now on."""
        head, now = self._rules.applied_head, self._now_ms()
        rollout = head.rollout if head is not None and head.rollout and head.rollout.goes_on else None
        if head is not None and head.rollout is not None and rollout is None and self._tally.stage:
            self._halted_ms = now
        mark = stage_id(rollout.id, rollout.stage) if rollout is not None else 0
        if mark != self._tally.stage:
            bucket_ms = rollout.terms.evidence_ms / BUCKETS_PER_STAGE if rollout is not None else 1.0
            if rollout is not None and rollout.id != rollout_of(self._tally.stage):
                self._own.forget(rollout.version)
            self._tally = Tally(self._rules.context.classes, mark, now, bucket_ms)
            self._began_ms, self._told_ms, self._told = now, now, 0
            self._broken_before, self._away_ms = self._broken(), 0.0
            self._heard.clear()
        if head is not None:
            self._own.keep([head.version, head.before, *([rollout.version] if rollout else [])])
        if not self._rules.left:
            self._why_left = ""
        self._confirms.set()

    # --- telling --------------------------------------------------------------------------------------------
    def _confirm(self) -> None:
        """Say which head is gone by here; again until the store has it."""
        self._confirms.wait()
        self._confirms.clear()
        # Guards against a fleet that confirms one head in one instant.
        gevent.sleep(secrets.randbelow(1000) / 1000.0 * CONFIRM_SPREAD_S * len(self._member.view.members))
        head, snapshot = self._rules.applied_head, self._link.snapshot
        if head is None:
            return
        said = Confirmation(
            confirm.FORMAT, self._member.incarnation, head.number, self._rules.version, self._rules.left,
            self._why_left[: confirm.MOST_WHY],
        )  # fmt: skip
        attempt = confirm.confirm(snapshot, self._member.name, said) if snapshot is not None else None
        if snapshot is None or (attempt is not None and self._link.commit(attempt) is not Outcome.WON):
            self._link.read_again()
            self._confirms.set()

    def _tell(self, rollout: Rollout, now: float) -> None:
        """Tell what was counted, every so often; own values of other stages go."""
        snapshot = self._link.snapshot
        if snapshot is None or not self._link.may_act():
            return
        if now - self._told_ms < stages.publish_interval_ms(
            rollout.terms.tell_ms, len(self._member.view.members)
        ):
            return
        self._told_ms = now
        name, life = self._member.name, self._member.incarnation
        value = self._tally.evidence(
            life, self._told + 1, self._zone, self._broken() - self._broken_before, now
        )
        key = evidence.key_of(name, life)
        entry = snapshot.find(key)
        old = _outdated(snapshot, name, life, value.stage)
        writes = (Write(key, evidence.encode(value)), *(Write(gone, None) for gone in old))
        outcome = self._link.commit(Transaction((Compare(key, entry.mod_revision if entry else 0),), writes))
        if outcome is Outcome.WON:
            self._told += 1
        elif outcome is Outcome.LOST:
            self._link.read_again()

    # --- looking --------------------------------------------------------------------------------------------
    @property
    def has_recent_halt(self) -> bool:
        """Has a rollout just halted? No turn begins on that."""
        return self._now_ms() - self._halted_ms < HALTED_MS

    def _look(self) -> None:
        head, now = self._rules.applied_head, self._now_ms()
        rollout = head.rollout if head is not None else None
        if head is None or rollout is None or not rollout.goes_on:
            return
        self._guard(head, rollout)
        self._listen(rollout, now)
        if not self._link.is_fresh:
            return
        self._tell(rollout, now)
        if now - self._looked_ms < rollout.terms.look_ms * min(1 + self._rank(rollout), MOST_LOOKS):
            return
        self._looked_ms = now
        there = self._rules.head_state
        if there is None or there.head != head:
            return
        asked = Request(self._member.name, secrets.token_hex(8), "", "", int(time.time() * 1000))
        step = steps.next_step(there, self.seen_now(rollout), asked, head.number)
        if step is not None and self._is_time(step, rollout, now):
            self._try(step)

    def _rank(self, rollout: Rollout) -> int:
        """How many others judge more often than this one does; another order in each stage."""
        acting = [one.name for one in self._member.view.live_members]
        return rank(f"{rollout.id} {rollout.stage}", self._member.name, acting)

    def _is_time(self, step: steps.RolloutStep, rollout: Rollout, now: float) -> bool:
        key = f"{rollout.id} {rollout.stage} {step.did.value}"
        if self._tried[0] != key:
            self._tried = (key, now)
        acting = [one.name for one in self._member.view.live_members]
        return now - self._tried[1] >= contention_delay_ms(key, self._member.name, acting)

    def _try(self, step: steps.RolloutStep) -> None:
        # Asked again directly before the deed: this process may have slept since the step was computed.
        outcome = self._link.commit(step.attempt) if self._link.may_act() else Outcome.LOST
        self._counters.add(f"rollout_steps_{outcome.value}")
        if outcome is Outcome.WON:
            halted = step.did is Operation.HALTED
            log_event(logging.ERROR if halted else logging.INFO, "rollout", did=step.did.value, why=step.why)

    def _listen(self, rollout: Rollout, now: float) -> None:
        """Who told something new, and whether anybody could."""
        snapshot = self._link.snapshot
        if snapshot is None or now - self._listened_ms < LISTEN_MS:
            return
        self._listened_ms = now
        if not self._link.is_fresh:
            self._blind_ms = now
            return
        told, _ = evidence.told(snapshot, self._tally.stage)
        numbers: dict[str, int] = {}
        for (name, life), one in told.items():
            numbers[name] = max(numbers.get(name, 0), one.told)
            before = self._heard.get(name)
            if before is None or before[0] < (life, one.told):
                self._heard[name] = ((life, one.told), now)
        gap = self._link.freshness.gap_ms
        if gap > rollout.terms.away_ms and steps.nobody_wrote(self._numbers, numbers):
            self._away_ms = max(self._away_ms, gap)
        self._link.freshness.gap_ms, self._numbers = 0.0, numbers

    def seen_now(self, rollout: Rollout) -> steps.Seen:
        """All that a step is decided from."""
        snapshot = self._link.snapshot
        assert snapshot is not None, "read once at least: there is a head"
        told, _ = evidence.told(snapshot, stage_id(rollout.id, rollout.stage))
        heard = {
            name: max(self._heard[name][1] if name in self._heard else self._began_ms, self._blind_ms)
            for name in rollout.members
        }
        return steps.Seen(
            self._now_ms(), self._began_ms, heard, told,
            confirm.confirmations(snapshot), {one.name: one.zone for one in self._member.view.live_members},
            self._link.is_fresh, self._away_ms,
        )  # fmt: skip

    def _guard(self, head: Head, rollout: Rollout) -> None:
        """Cut off under a new version, and worse than before by its own figures: go back."""
        if self._link.is_fresh or self._rules.left or self._rules.version != rollout.version:
            return
        terms = rollout.terms
        why = self._own.regressed(rollout.version, head.version, terms.tolerance, terms.rate)
        if why:
            self._counters.add("rules_left")
            log_event(logging.ERROR, "rules_left", rollout=rollout.id, version=rollout.version, why=why)
            self._why_left = why
            self._rules.leave(rollout.id)

    # --- for operators --------------------------------------------------------------------------------------
    def confirmation_status(self, there: HeadState) -> ConfirmationStatus:
        """Who goes by the head already."""
        view, snapshot = self._member.view, self._link.snapshot
        said = confirm.confirmations(snapshot) if snapshot is not None else {}
        live = {one.name: one.incarnation for one in view.live_members}
        return confirm.followed(there.head.number, live, view.missing, said)

    def confirmations(self) -> dict[str, Confirmation]:
        """What each softswitch last said."""
        return {} if self._link.snapshot is None else confirm.confirmations(self._link.snapshot)

    def judge_current_stage(self, there: HeadState) -> tuple[Judgement, tuple[str, ...], list[Evidence]]:
        """What the evidence of this stage says now, the keys that can't be read, and the evidence itself."""
        rollout, snapshot = there.head.rollout, self._link.snapshot
        if rollout is None or snapshot is None:
            return Judgement(), (), []
        told, unreadable = evidence.told(snapshot, stage_id(rollout.id, rollout.stage))
        return steps.judged_stage(rollout, there.head.version, told), unreadable, list(told.values())


def _outdated(snapshot: Snapshot, name: str, life: int, stage: int) -> list[str]:
    """Own keys of former lives that no stage will read again, and the oldest where there are too many."""
    mine = snapshot.with_prefix(f"{evidence.EVIDENCE}{name}/")
    former = [entry for entry in mine if entry.key != evidence.key_of(name, life)]
    kept = [
        entry for entry in former
        if (one := evidence.decode(entry.value)) is not None and one.stage == stage
    ]  # fmt: skip
    gone = [entry.key for entry in former if entry not in kept]
    return (
        gone + [entry.key for entry in sorted(kept, key=lambda one: one.mod_revision)[: -evidence.KEPT_LIVES]]
    )[:8]
