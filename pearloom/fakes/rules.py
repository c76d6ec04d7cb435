"""Checks the rules on the fakes' journal alone; nothing that the softswitch says of itself is used."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from pearloom.fakes.journal import Entry, EntryKind

SLACK_MS = 50.0  # added to every limit, for the time that sockets take
PAUSE_MS = 300.0  # after an attempt whose effect at the server is unknown
DRAIN_MS = 250.0  # after the coordinator announced the state
RELEASE_MS = 1_000.0  # from a server's release to its caller's
DEAD_MS = 8_000.0  # from a server's death to the release at the callers of its established calls
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
    """The violations found, and counts of the calls' outcomes and attempts."""

    violations: list[Violation] = field(default_factory=list)
    # by class, caller's protocol, last server's protocol, outcome
    outcomes: Counter[tuple[str, str, str, str]] = field(default_factory=Counter)
    attempts: Counter[str] = field(default_factory=Counter)  # by server
    mixed_protocol_calls: int = 0  # calls with attempts over both protocols

    def add(self, rule: str, call: str, detail: str) -> None:
        """Append a violation."""
        self.violations.append(Violation(rule, call, detail))


def check(
    entries: Sequence[Entry], allowed: Mapping[str, Sequence[str]], ended_ms: float, all_ended: bool = True
) -> Report:
    """Check all rules on the entries of one run.

    `allowed`: the servers that each class may use. `ended_ms`: when the run ended, in Unix ms. `all_ended`:
    whether all calls had time to end."""
    report = Report()
    by_call: dict[str, list[Entry]] = defaultdict(list)
    withdrawn: dict[str, float] = {}
    deaths: dict[str, list[float]] = defaultdict(list)
    for entry in entries:
        if entry.kind is EntryKind.STATE_CHANGED and entry.label != "ready":
            withdrawn.setdefault(entry.party, entry.at_ms)
        elif entry.kind is EntryKind.DIED:
            deaths[entry.party].append(entry.at_ms)
        elif entry.call:
            by_call[entry.call].append(entry)
    for call, call_entries in by_call.items():
        _CallCheck(report, call, call_entries, allowed, withdrawn, deaths, ended_ms, all_ended).check()
    return report


class _CallCheck:
    """Checks the entries of one call."""

    def __init__(
        self,
        report: Report,
        call: str,
        entries: list[Entry],
        allowed: Mapping[str, Sequence[str]],
        withdrawn: Mapping[str, float],
        deaths: Mapping[str, list[float]],
        ended_ms: float,
        all_ended: bool,
    ) -> None:
        self.report, self.call, self.entries = report, call, entries
        # By server, in Unix ms: when the coordinator first announced it as not ready; when its process ended.
        self.allowed, self.withdrawn, self.deaths = allowed, withdrawn, deaths
        self.ended_ms, self.all_ended = ended_ms, all_ended

    def add_violation(self, rule: str, detail: str) -> None:
        self.report.add(rule, self.call, detail)

    def check(self) -> None:
        offered = next((entry for entry in self.entries if entry.kind is EntryKind.OFFERED), None)
        if offered is None:
            self.add_violation(
                "no set-up that no caller sent", f"{self.entries[0].kind.name} at {self.entries[0].party}"
            )
            return
        self._check_answers(offered)
        self._check_attempts(offered)
        self._check_releases(offered)

    def _check_answers(self, offered: Entry) -> None:
        finals = [entry for entry in self.entries if entry.kind in _FINAL]
        gave_up_ms = next((entry.at_ms for entry in self.entries if entry.kind is EntryKind.GAVE_UP), None)
        if len(finals) > 1:
            self.add_violation("one final answer", " and ".join(entry.kind.name for entry in finals))
        if gave_up_ms is not None and any(entry.at_ms > gave_up_ms for entry in finals):
            self.add_violation("no answer after a give-up", finals[-1].kind.name)
        due = offered.at_ms + offered.patience_ms + SLACK_MS
        if not finals and gave_up_ms is None and self.all_ended:
            self.add_violation("one final answer", "none")
        for final in finals:
            if final.at_ms > due:
                self.add_violation("answered in time", f"{final.at_ms - due:.0f} ms late")
            made = [entry.description for entry in self.entries if entry.kind is EntryKind.ANSWERED]
            if final.kind is EntryKind.ESTABLISHED and final.description not in made:
                self.add_violation("served only with what a server made", f"{final.description[:40]!r}")
        servers = [entry for entry in self.entries if entry.kind is EntryKind.SET_UP]
        outcome = finals[0].kind.name if finals else "GAVE_UP" if gave_up_ms is not None else "NONE"
        last = servers[-1].protocol if servers else "-"
        self.report.outcomes[offered.label, offered.protocol, last, outcome] += 1
        if len({entry.protocol for entry in servers}) > 1:
            self.report.mixed_protocol_calls += 1

    def _check_attempts(self, offered: Entry) -> None:
        pending: Entry | None = None
        uncertain_ms = -math.inf  # when the last attempt with an unknown effect ended
        attempts = 0
        for entry in self.entries:
            deaths = (
                []
                if pending is None
                else [at for at in self.deaths[pending.party] if pending.at_ms <= at <= entry.at_ms]
            )
            if deaths:
                pending, uncertain_ms = None, deaths[0]
            if entry.kind is EntryKind.SET_UP:
                attempts += 1
                self.report.attempts[entry.party] += 1
                self._check_attempt(offered, entry)
                if pending is not None:
                    self.add_violation("one attempt out", f"{pending.party} and {entry.party}")
                if entry.at_ms - uncertain_ms < PAUSE_MS - SLACK_MS:
                    self.add_violation(
                        "300 ms after doubt", f"{entry.at_ms - uncertain_ms:.0f} ms at {entry.party}"
                    )
                pending = entry
            elif pending is not None and entry.party == pending.party:
                if entry.kind in (EntryKind.CANCELLED, EntryKind.DROPPED):
                    pending, uncertain_ms = None, entry.at_ms
                elif entry.kind in (EntryKind.ANSWERED, EntryKind.DECLINED):
                    pending = None
        if attempts > MAX_ATTEMPTS:
            self.add_violation("four attempts at most", str(attempts))

    def _check_attempt(self, offered: Entry, set_up: Entry) -> None:
        if set_up.party not in self.allowed.get(offered.label, ()):
            self.add_violation("only pools of its class", set_up.party)
        if (set_up.label, set_up.number, set_up.description) != (
            offered.label,
            offered.number,
            offered.description,
        ):
            self.add_violation(
                "no changed description", f"{set_up.label} {set_up.number} {len(set_up.description)} bytes"
            )
        withdrawn_ms = self.withdrawn.get(set_up.party)
        if withdrawn_ms is not None and set_up.at_ms > withdrawn_ms + DRAIN_MS + SLACK_MS:
            self.add_violation(
                "drains honoured within 250 ms", f"{set_up.at_ms - withdrawn_ms:.0f} ms at {set_up.party}"
            )
        gave_up_ms = next((entry.at_ms for entry in self.entries if entry.kind is EntryKind.GAVE_UP), None)
        if gave_up_ms is not None and set_up.at_ms > gave_up_ms + DRAIN_MS:
            self.add_violation(
                "nothing sent for a call that is over",
                f"{set_up.at_ms - gave_up_ms:.0f} ms at {set_up.party}",
            )

    def _check_releases(self, offered: Entry) -> None:
        """Established calls must be released at both the caller and the server."""
        established = next((entry for entry in self.entries if entry.kind is EntryKind.ESTABLISHED), None)
        if established is not None:
            released = next(
                (
                    entry
                    for entry in self.entries
                    if entry.kind in (EntryKind.RELEASED, EntryKind.CALLER_RELEASED)
                ),
                None,
            )
            due = self._release_due_ms(established)
            if due is not None and (released is None or released.at_ms > due) and due < self.ended_ms:
                late = "never" if released is None else f"{released.at_ms - due:.0f} ms late"
                self.add_violation("releases passed on", f"{late} of {established.description[:20]!r}")
            if released is None and self.all_ended:
                self.add_violation("nothing left standing at a caller", offered.protocol)
        for answer in [entry for entry in self.entries if entry.kind is EntryKind.ANSWERED]:
            ended = any(
                entry.party == answer.party and entry.at_ms >= answer.at_ms
                and entry.kind in (EntryKind.RELEASE_RECEIVED, EntryKind.SERVER_RELEASED, EntryKind.CANCELLED)
                for entry in self.entries
            ) or any(at >= answer.at_ms for at in self.deaths[answer.party])  # fmt: skip
            if not ended and self.all_ended:
                self.add_violation("nothing left standing at a server", answer.party)

    def _release_due_ms(self, established: Entry) -> float | None:
        """Return when the caller's release is due, in Unix ms; None while the server's call has not ended."""
        answer = next(
            (
                entry
                for entry in self.entries
                if entry.kind is EntryKind.ANSWERED and entry.description == established.description
            ),
            None,
        )
        if answer is None:
            return None
        for entry in self.entries:
            if (
                entry.kind is EntryKind.SERVER_RELEASED
                and entry.party == answer.party
                and entry.at_ms >= answer.at_ms
            ):
                return entry.at_ms + RELEASE_MS + SLACK_MS
        deaths = [at for at in self.deaths[answer.party] if at >= answer.at_ms]
        return deaths[0] + DEAD_MS + SLACK_MS if deaths else None
