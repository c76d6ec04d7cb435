"""Checks the rules on what the fakes recorded; it knows nothing of the softswitch's own account."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from pearloom.fakes.journal import Entry, EntryKind

SLACK_MS = 50.0  # every limit on sockets is so much longer
PAUSE_MS = 300.0  # after an attempt in doubt
DRAIN_MS = 250.0  # after the coordinator told
RELEASE_MS = 1_000.0  # from a server's release to its caller
DEAD_MS = 8_000.0  # from a server's death to the callers of what stood there
MAX_ATTEMPTS = 4
_FINAL = (EntryKind.ESTABLISHED, EntryKind.REFUSED, EntryKind.FAILED)


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken, and by which call."""

    rule: str
    call: str
    detail: str


@dataclass(slots=True)
class Report:
    """What was found, and an account of how calls ended, by class and by the protocols of their two sides."""

    violations: list[Violation] = field(default_factory=list)
    # by class, caller's protocol, server's protocol, end
    outcomes: Counter[tuple[str, str, str, str]] = field(default_factory=Counter)
    attempts: Counter[str] = field(default_factory=Counter)  # by server
    mixed_protocol_calls: int = 0  # calls whose attempts went over both protocols

    def add(self, rule: str, call: str, detail: str) -> None:
        """Note a broken rule."""
        self.violations.append(Violation(rule, call, detail))


def check(
    entries: Sequence[Entry], allowed: Mapping[str, Sequence[str]], ended_ms: float, all_ended: bool = True
) -> Report:
    """Check all rules. `allowed`: the servers that each class may use. `done`: all calls had time to end."""
    report = Report()
    by_call: dict[str, list[Entry]] = defaultdict(list)
    told: dict[str, float] = {}
    died: dict[str, list[float]] = defaultdict(list)
    for entry in entries:
        if entry.kind is EntryKind.STATE_CHANGED and entry.label != "ready":
            told.setdefault(entry.party, entry.at_ms)
        elif entry.kind is EntryKind.DIED:
            died[entry.party].append(entry.at_ms)
        elif entry.call:
            by_call[entry.call].append(entry)
    for call, story in by_call.items():
        _Call(report, call, story, allowed, told, died, ended_ms, all_ended).check()
    return report


class _Call:
    """One call's story."""

    def __init__(
        self,
        report: Report,
        call: str,
        story: list[Entry],
        allowed: Mapping[str, Sequence[str]],
        told: Mapping[str, float],
        died: Mapping[str, list[float]],
        ended_ms: float,
        done: bool,
    ) -> None:
        self.report, self.call, self.story = report, call, story
        self.allowed, self.told, self.died = allowed, told, died
        self.ended_ms, self.done = ended_ms, done

    def bad(self, rule: str, detail: str) -> None:
        self.report.add(rule, self.call, detail)

    def check(self) -> None:
        offered = next((one for one in self.story if one.kind is EntryKind.OFFERED), None)
        if offered is None:
            self.bad("no set-up that no caller sent", f"{self.story[0].kind.name} at {self.story[0].party}")
            return
        self._answers(offered)
        self._attempts(offered)
        self._ends(offered)

    def _answers(self, offered: Entry) -> None:
        finals = [one for one in self.story if one.kind in _FINAL]
        left = next((one.at_ms for one in self.story if one.kind is EntryKind.GAVE_UP), None)
        if len(finals) > 1:
            self.bad("one final answer", " and ".join(one.kind.name for one in finals))
        if left is not None and any(one.at_ms > left for one in finals):
            self.bad("no answer after a give-up", finals[-1].kind.name)
        due = offered.at_ms + offered.patience_ms + SLACK_MS
        if not finals and left is None and self.done:
            self.bad("one final answer", "none")
        for final in finals:
            if final.at_ms > due:
                self.bad("answered in time", f"{final.at_ms - due:.0f} ms late")
            made = [one.description for one in self.story if one.kind is EntryKind.ANSWERED]
            if final.kind is EntryKind.ESTABLISHED and final.description not in made:
                self.bad("served only with what a server made", f"{final.description[:40]!r}")
        servers = [one for one in self.story if one.kind is EntryKind.SET_UP]
        end = finals[0].kind.name if finals else "GAVE_UP" if left is not None else "NONE"
        last = servers[-1].protocol if servers else "-"
        self.report.outcomes[offered.label, offered.protocol, last, end] += 1
        if len({one.protocol for one in servers}) > 1:
            self.report.mixed_protocol_calls += 1

    def _attempts(self, offered: Entry) -> None:
        out: Entry | None = None
        free_ms = -math.inf  # an attempt in doubt ended then
        attempts = 0
        for one in self.story:
            deaths = (
                [] if out is None else [at for at in self.died[out.party] if out.at_ms <= at <= one.at_ms]
            )
            if deaths:
                out, free_ms = None, deaths[0]
            if one.kind is EntryKind.SET_UP:
                attempts += 1
                self.report.attempts[one.party] += 1
                self._attempt(offered, one)
                if out is not None:
                    self.bad("one attempt out", f"{out.party} and {one.party}")
                if one.at_ms - free_ms < PAUSE_MS - SLACK_MS:
                    self.bad("300 ms after doubt", f"{one.at_ms - free_ms:.0f} ms at {one.party}")
                out = one
            elif out is not None and one.party == out.party:
                if one.kind in (EntryKind.CANCELLED, EntryKind.DROPPED):
                    out, free_ms = None, one.at_ms
                elif one.kind in (EntryKind.ANSWERED, EntryKind.DECLINED):
                    out = None
        if attempts > MAX_ATTEMPTS:
            self.bad("four attempts at most", str(attempts))

    def _attempt(self, offered: Entry, one: Entry) -> None:
        if one.party not in self.allowed.get(offered.label, ()):
            self.bad("only pools of its class", one.party)
        if (one.label, one.number, one.description) != (offered.label, offered.number, offered.description):
            self.bad("no changed description", f"{one.label} {one.number} {len(one.description)} bytes")
        told = self.told.get(one.party)
        if told is not None and one.at_ms > told + DRAIN_MS + SLACK_MS:
            self.bad("drains honoured within 250 ms", f"{one.at_ms - told:.0f} ms at {one.party}")
        left = next((end.at_ms for end in self.story if end.kind is EntryKind.GAVE_UP), None)
        if left is not None and one.at_ms > left + DRAIN_MS:
            self.bad("nothing sent for a call that is over", f"{one.at_ms - left:.0f} ms at {one.party}")

    def _ends(self, offered: Entry) -> None:
        """What stood at a caller is released to it, and what stood at a server is released there."""
        stands = next((one for one in self.story if one.kind is EntryKind.ESTABLISHED), None)
        if stands is not None:
            over = next(
                (one for one in self.story if one.kind in (EntryKind.RELEASED, EntryKind.CALLER_RELEASED)),
                None,
            )
            due = self._due(stands)
            if due is not None and (over is None or over.at_ms > due) and due < self.ended_ms:
                late = "never" if over is None else f"{over.at_ms - due:.0f} ms late"
                self.bad("releases passed on", f"{late} of {stands.description[:20]!r}")
            if over is None and self.done:
                self.bad("nothing left standing at a caller", offered.protocol)
        for answer in [one for one in self.story if one.kind is EntryKind.ANSWERED]:
            ended = any(
                one.party == answer.party and one.at_ms >= answer.at_ms
                and one.kind in (EntryKind.RELEASE_RECEIVED, EntryKind.SERVER_RELEASED, EntryKind.CANCELLED)
                for one in self.story
            ) or any(at >= answer.at_ms for at in self.died[answer.party])  # fmt: skip
            if not ended and self.done:
                self.bad("nothing left standing at a server", answer.party)

    def _due(self, stands: Entry) -> float | None:
        """Until when the caller has to hear that its call is over."""
        answer = next(
            (
                one
                for one in self.story
                if one.kind is EntryKind.ANSWERED and one.description == stands.description
            ),
            None,
        )
        if answer is None:
            return None
        for one in self.story:
            if (
                one.kind is EntryKind.SERVER_RELEASED
                and one.party == answer.party
                and one.at_ms >= answer.at_ms
            ):
                return one.at_ms + RELEASE_MS + SLACK_MS
        deaths = [at for at in self.died[answer.party] if at >= answer.at_ms]
        return deaths[0] + DEAD_MS + SLACK_MS if deaths else None
