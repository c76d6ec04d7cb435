"""One softswitch's part in rollouts: counts, publishes, confirms, judges and attempts the next step.

`steps.py`, `judge.py` and `guard.py` decide. Call handling only updates counters; everything that waits for
the store runs in greenlets of this module.
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
from pearloom.rollout.evidence import BUCKETS_PER_STAGE, Evidence, Tally, rollout_of_stage, stage_id
from pearloom.rollout.guard import LocalGuard
from pearloom.rollout.judge import Judgement
from pearloom.rules.head import Head, HeadState, Operation, Request, Rollout
from pearloom.rules.host import RulesHost

LOOP_INTERVAL_S = 0.1
OBSERVE_INTERVAL_MS = 250.0  # between two checks for newly published evidence
MAX_INTERVAL_FACTOR = 10  # x `look_ms`: longest interval between judgements, for high ranks in a stage
RECENT_HALT_MS = 60_000.0  # time after a halt in which no maintenance slot is granted
CONFIRM_RETRY_S = 0.1
CONFIRM_SPREAD_S = 0.005  # x the softswitches: time over which the confirmations of a head are spread


class RolloutHost:
    """One softswitch's part in rollouts.

    `failed_decisions` returns how many decisions failed with an exception in this incarnation."""

    def __init__(
        self,
        link: Link,
        member: MemberHost,
        rules: RulesHost,
        counters: Counters,
        zone: str,
        failed_decisions: Callable[[], int],
        now_ms: Callable[[], float],
    ) -> None:
        """Register with the rules host; `start` starts the greenlets."""
        self._link, self._member, self._rules, self._counters = link, member, rules, counters
        self._zone, self._failed_decisions, self._now_ms = zone, failed_decisions, now_ms
        classes = rules.context.classes
        self._guard = LocalGuard(classes)
        self._tally = Tally(classes, 0, now_ms(), 1.0)
        self._stage_start_ms = self._last_publish_ms = self._last_judged_ms = now_ms()
        self._sequence = self._failed_decisions_before = 0
        self._leave_reason = ""
        # By softswitch: incarnation and sequence number of the newest value, and when it was first read.
        self._latest_values: dict[str, tuple[tuple[int, int], float]] = {}
        self._sequences: dict[str, int] = {}  # sequence number by softswitch, as of the last fresh read
        self._store_lost_ms = self._last_observed_ms = 0.0
        self._last_cut_off_ms = self._last_halt_ms = float("-inf")
        self._pending_step: tuple[str, float] = ("", 0.0)  # its key, and when it was first computed
        self._confirmation_due = Event()
        rules.arrival_mark = lambda: self._tally.arrival_mark(self._now_ms())
        rules.on_outcome = self._record_outcome
        rules.on_applied.append(self._on_applied)

    def start(self) -> None:
        """Start the greenlets."""
        gevent.spawn(self._run, self._run_stage, LOOP_INTERVAL_S, "rollout_failed")
        gevent.spawn(self._run, self._confirm, CONFIRM_RETRY_S, "confirm_failed")

    def _run(self, action: Callable[[], None], pause_s: float, event: str) -> None:
        while True:
            try:
                action()
            except Exception:
                log_exception(event)
            gevent.sleep(pause_s)

    def _record_outcome(
        self, version: str, mark: int, class_index: int, outcome: CallOutcome, duration_ms: float
    ) -> None:
        now = self._now_ms()
        self._tally.record_end(version, mark, class_index, outcome, duration_ms, now)
        self._guard.record_outcome(version, class_index, outcome, now)

    def _on_applied(self) -> None:
        """Handle a changed head or local version: start new counts if the stage changed, and confirm."""
        head, now = self._rules.applied_head, self._now_ms()
        rollout = head.rollout if head is not None and head.rollout and head.rollout.is_active else None
        if head is not None and head.rollout is not None and rollout is None and self._tally.stage_id:
            self._last_halt_ms = now
        mark = stage_id(rollout.id, rollout.stage) if rollout is not None else 0
        if mark != self._tally.stage_id:
            bucket_ms = rollout.terms.evidence_ms / BUCKETS_PER_STAGE if rollout is not None else 1.0
            if rollout is not None and rollout.id != rollout_of_stage(self._tally.stage_id):
                self._guard.forget(rollout.version)
            self._tally = Tally(self._rules.context.classes, mark, now, bucket_ms)
            self._stage_start_ms, self._last_publish_ms, self._sequence = now, now, 0
            self._failed_decisions_before, self._store_lost_ms = self._failed_decisions(), 0.0
            self._latest_values.clear()
        if head is not None:
            self._guard.retain([head.version, head.before, *([rollout.version] if rollout else [])])
        if not self._rules.left_rollout:
            self._leave_reason = ""
        self._confirmation_due.set()

    def _confirm(self) -> None:
        """Confirm the applied head; repeated until the store holds the confirmation."""
        self._confirmation_due.wait()
        self._confirmation_due.clear()
        # Guards against a load peak from a whole fleet that confirms a head at the same moment.
        gevent.sleep(secrets.randbelow(1000) / 1000.0 * CONFIRM_SPREAD_S * len(self._member.view.members))
        head, snapshot = self._rules.applied_head, self._link.snapshot
        if head is None:
            return
        confirmation = Confirmation(
            confirm.FORMAT, self._member.incarnation, head.number, self._rules.version,
            self._rules.left_rollout, self._leave_reason[: confirm.MAX_REASON_LENGTH],
        )  # fmt: skip
        transaction = (
            confirm.confirmation_transaction(snapshot, self._member.name, confirmation)
            if snapshot is not None
            else None
        )
        if snapshot is None or (
            transaction is not None and self._link.commit(transaction) is not Outcome.WON
        ):
            self._link.read_again()
            self._confirmation_due.set()

    def _publish(self, rollout: Rollout, now: float) -> None:
        """Publish the counts if they are due, and delete outdated values of this softswitch."""
        snapshot = self._link.snapshot
        if snapshot is None or not self._link.may_act():
            return
        if now - self._last_publish_ms < stages.publish_interval_ms(
            rollout.terms.tell_ms, len(self._member.view.members)
        ):
            return
        self._last_publish_ms = now
        name, incarnation = self._member.name, self._member.incarnation
        published = self._tally.evidence(
            incarnation,
            self._sequence + 1,
            self._zone,
            self._failed_decisions() - self._failed_decisions_before,
            now,
        )
        key = evidence.evidence_key(name, incarnation)
        entry = snapshot.find(key)
        outdated = _outdated_keys(snapshot, name, incarnation, published.stage)
        writes = (Write(key, evidence.encode(published)), *(Write(old_key, None) for old_key in outdated))
        outcome = self._link.commit(Transaction((Compare(key, entry.mod_revision if entry else 0),), writes))
        if outcome is Outcome.WON:
            self._sequence += 1
        elif outcome is Outcome.LOST:
            self._link.read_again()

    @property
    def has_recent_halt(self) -> bool:
        """Whether a rollout halted a short time ago; no maintenance slot is granted then."""
        return self._now_ms() - self._last_halt_ms < RECENT_HALT_MS

    def _run_stage(self) -> None:
        head, now = self._rules.applied_head, self._now_ms()
        rollout = head.rollout if head is not None else None
        if head is None or rollout is None or not rollout.is_active:
            return
        self._check_guard(head, rollout)
        self._observe_evidence(rollout, now)
        if not self._link.is_fresh:
            return
        self._publish(rollout, now)
        if now - self._last_judged_ms < rollout.terms.look_ms * min(
            1 + self._rank(rollout), MAX_INTERVAL_FACTOR
        ):
            return
        self._last_judged_ms = now
        state = self._rules.head_state
        if state is None or state.head != head:
            return
        request = Request(self._member.name, secrets.token_hex(8), "", "", int(time.time() * 1000))
        step = steps.next_step(state, self.observe_stage(rollout), request, head.number)
        if step is not None and self._is_due(step, rollout, now):
            self._commit(step)

    def _rank(self, rollout: Rollout) -> int:
        """Return how many live softswitches judge more often than this one; the order differs by stage."""
        live = [member.name for member in self._member.view.live_members]
        return rank(f"{rollout.id} {rollout.stage}", self._member.name, live)

    def _is_due(self, step: steps.RolloutStep, rollout: Rollout, now: float) -> bool:
        key = f"{rollout.id} {rollout.stage} {step.operation.value}"
        if self._pending_step[0] != key:
            self._pending_step = (key, now)
        live = [member.name for member in self._member.view.live_members]
        return now - self._pending_step[1] >= contention_delay_ms(key, self._member.name, live)

    def _commit(self, step: steps.RolloutStep) -> None:
        # Checks the lease again right before the write: the process may have been suspended since the step.
        outcome = self._link.commit(step.transaction) if self._link.may_act() else Outcome.LOST
        self._counters.add(f"rollout_steps_{outcome.value}")
        if outcome is Outcome.WON:
            is_halt = step.operation is Operation.HALTED
            log_event(
                logging.ERROR if is_halt else logging.INFO,
                "rollout",
                did=step.operation.value,
                why=step.reason,
            )

    def _observe_evidence(self, rollout: Rollout, now: float) -> None:
        """Note which softswitches published new values, and how long nobody could write to the store."""
        snapshot = self._link.snapshot
        if snapshot is None or now - self._last_observed_ms < OBSERVE_INTERVAL_MS:
            return
        self._last_observed_ms = now
        if not self._link.is_fresh:
            self._last_cut_off_ms = now
            return
        published, _ = evidence.read_evidence(snapshot, self._tally.stage_id)
        sequences: dict[str, int] = {}
        for (name, incarnation), latest in published.items():
            sequences[name] = max(sequences.get(name, 0), latest.told)
            previous = self._latest_values.get(name)
            if previous is None or previous[0] < (incarnation, latest.told):
                self._latest_values[name] = ((incarnation, latest.told), now)
        gap_ms = self._link.freshness.gap_ms
        if gap_ms > rollout.terms.away_ms and steps.nobody_published(self._sequences, sequences):
            self._store_lost_ms = max(self._store_lost_ms, gap_ms)
        self._link.freshness.gap_ms, self._sequences = 0.0, sequences

    def observe_stage(self, rollout: Rollout) -> steps.StageObservation:
        """Return everything from which the next step is computed."""
        snapshot = self._link.snapshot
        assert snapshot is not None, "a head has been applied, so the store has been read"
        published, _ = evidence.read_evidence(snapshot, stage_id(rollout.id, rollout.stage))
        last_published_ms = {
            name: max(
                self._latest_values[name][1] if name in self._latest_values else self._stage_start_ms,
                self._last_cut_off_ms,
            )
            for name in rollout.members
        }
        return steps.StageObservation(
            self._now_ms(), self._stage_start_ms, last_published_ms, published,
            confirm.confirmations(snapshot),
            {member.name: member.zone for member in self._member.view.live_members},
            self._link.is_fresh, self._store_lost_ms,
        )  # fmt: skip

    def _check_guard(self, head: Head, rollout: Rollout) -> None:
        """Leave the rollout if the store is out of reach and this softswitch's own outcomes regressed."""
        if self._link.is_fresh or self._rules.left_rollout or self._rules.version != rollout.version:
            return
        terms = rollout.terms
        reason = self._guard.regression(rollout.version, head.version, terms.tolerance, terms.rate)
        if reason:
            self._counters.add("rules_left")
            log_event(logging.ERROR, "rules_left", rollout=rollout.id, version=rollout.version, why=reason)
            self._leave_reason = reason
            self._rules.leave_rollout(rollout.id)

    def confirmation_status(self, state: HeadState) -> ConfirmationStatus:
        """Return which softswitches have not yet confirmed the head."""
        view, snapshot = self._member.view, self._link.snapshot
        confirmations = confirm.confirmations(snapshot) if snapshot is not None else {}
        live = {member.name: member.incarnation for member in view.live_members}
        return confirm.confirmation_status(state.head.number, live, view.missing, confirmations)

    def confirmations(self) -> dict[str, Confirmation]:
        """Return the latest confirmation of each softswitch."""
        return {} if self._link.snapshot is None else confirm.confirmations(self._link.snapshot)

    def judge_current_stage(self, state: HeadState) -> tuple[Judgement, tuple[str, ...], list[Evidence]]:
        """Judge the current stage; returns the judgement, the unreadable keys and the evidence."""
        rollout, snapshot = state.head.rollout, self._link.snapshot
        if rollout is None or snapshot is None:
            return Judgement(), (), []
        published, unreadable = evidence.read_evidence(snapshot, stage_id(rollout.id, rollout.stage))
        return steps.judge_stage(rollout, state.head.version, published), unreadable, list(published.values())


def _outdated_keys(snapshot: Snapshot, name: str, incarnation: int, stage_id: int) -> list[str]:
    """Return keys of this softswitch's earlier incarnations to delete.

    These are values of other stages, and the oldest ones of this stage beyond `MAX_FORMER_INCARNATIONS`; at
    most eight at a time."""
    own = snapshot.with_prefix(f"{evidence.EVIDENCE_PREFIX}{name}/")
    former = [entry for entry in own if entry.key != evidence.evidence_key(name, incarnation)]
    in_stage = [
        entry for entry in former
        if (stored := evidence.decode(entry.value)) is not None and stored.stage == stage_id
    ]  # fmt: skip
    outdated = [entry.key for entry in former if entry not in in_stage]
    return (
        outdated
        + [
            entry.key
            for entry in sorted(in_stage, key=lambda stored: stored.mod_revision)[
                : -evidence.MAX_FORMER_INCARNATIONS
            ]
        ]
    )[:8]
