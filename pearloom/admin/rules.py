"""Management calls for routing rules: propose, undo, list what is in force, and show a rollout's progress.

| call | what it does |
| --- | --- |
| `POST /v1/rules` | proposes a rule set on the head that the operator expects; in stages, or at once |
| `POST /v1/rules/undo` | puts the version before, or a named one, in force everywhere; ends a rollout |
| `GET /v1/rules` | head, stage, each softswitch's version, evidence, history |
| `GET /v1/rules/VERSION` | a version's rules |
"""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable, Iterator
from http import HTTPStatus

import msgspec

from pearloom.admin.management import HttpRequest, HttpResponse, Routes
from pearloom.admin.store_writes import bad_request, conflict, store_unavailable, write_with_retries
from pearloom.coordination import Link, Outcome, Transaction
from pearloom.membership.host import MemberHost
from pearloom.rollout import stages
from pearloom.rollout.evidence import Evidence, merge_delays
from pearloom.rollout.host import RolloutHost
from pearloom.rules import head as steps
from pearloom.rules.check import KnownNames, find_errors
from pearloom.rules.head import HeadState, Request
from pearloom.rules.host import RulesHost
from pearloom.rules.records import FORMAT, Rule, RulesError, RuleSet, canonical
from pearloom.rules.settings import RolloutSettings

SHOWN_LOG_ENTRIES = 16
SHOWN_MEMBERS = 20  # names of a stage's members in one line
MAX_RULES_BYTES = 48 * 1024  # of one call; with a version's other fields it fits into one stored value


class _Proposal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    expected: int
    rules: tuple[Rule, ...]
    reason: str = ""
    author: str = ""
    at_once: bool = False
    stages: tuple[float, ...] = ()
    stay: bool | None = None


class _Undo(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    expected: int | None = None
    to: str = ""
    reason: str = ""
    author: str = ""


class RulesCalls:
    """Handles the management calls under /v1/rules; each may wait for the store, in its own greenlet."""

    def __init__(
        self,
        link: Link,
        member: MemberHost,
        rules: RulesHost,
        rollout: RolloutHost,
        settings: RolloutSettings,
        known: Callable[[], KnownNames],
    ) -> None:
        """Take the hosts that the calls read and write; `known` returns the names that rules may use now."""
        self._link, self._member, self._rules, self._rollout = link, member, rules, rollout
        self._settings, self._known = settings, known

    def routes(self) -> Routes:
        """Return the handlers by path and method."""
        return {
            "/v1/rules": {"GET": lambda request: self._show(), "POST": self._propose},
            "/v1/rules/undo": {"POST": self._undo},
            "/v1/rules/": {"GET": self._version},
        }

    # Reading.

    def _show(self) -> HttpResponse:
        state = self._rules.head_state
        if state is None:
            return store_unavailable()
        return HttpResponse(HTTPStatus.OK, "".join(f"{line}\n" for line in self._lines(state)))

    def _lines(self, state: HeadState) -> Iterator[str]:
        head, confirmed = state.head, self._rollout.confirmation_status(state)
        yield (
            f"head={head.number} version={head.version} before={head.before}"
            f" done={str(confirmed.is_complete).lower()} fresh={str(self._link.is_fresh).lower()}"
        )
        if self._rules.divergence:
            applied = self._rules.applied_head.number if self._rules.applied_head else 0
            yield f"diverged seen={applied} told={_quoted(self._rules.divergence)}"
        yield from (f"unreadable={key}" for key in state.unreadable)
        if head.rollout is not None:
            shown = head.rollout
            more = len(shown.members) - SHOWN_MEMBERS
            names = ",".join(shown.members[:SHOWN_MEMBERS]) + (f",+{more}" if more > 0 else "")
            yield (
                f"rollout={shown.id} version={shown.version} stage={shown.stage + 1}/{len(shown.stages)}"
                f" members={names} halted={_quoted(shown.halted)}"
            )
            yield from self._evidence(state)
        confirmations = self._rollout.confirmations()
        for member in self._member.view.members:
            seen = confirmations.get(member.name)
            number, version, left = (seen.number, seen.version, seen.left) if seen else (0, "-", 0)
            waiting = "waits" if member.name in confirmed.pending else "has"
            progress = "away" if member.name in confirmed.absent else waiting
            yield (
                f"member={member.name} condition={member.condition.value} {progress}={head.number}"
                f" at={number} version={version} left={left}"
            )
        for entry in sorted(state.log, key=lambda entry: -entry.number)[:SHOWN_LOG_ENTRIES]:
            yield (
                f"log={entry.number} did={entry.write.value} version={entry.version} before={entry.before}"
                f" by={entry.by} author={_quoted(entry.author)} reason={_quoted(entry.reason)}"
                f" at_ms={entry.at_ms}"
            )

    def _evidence(self, state: HeadState) -> Iterator[str]:
        judgement, unreadable, evidence = self._rollout.judge_current_stage(state)
        assert state.head.rollout is not None, "evidence exists for a rollout only"
        yield from (f"unreadable={key}" for key in unreadable)
        for one in judgement.findings:
            low, high = one.ratio_bounds(state.head.rollout.terms.rate)
            yield (
                f"evidence class={one.class_name} end={one.end.value} new={one.bad_new}/{one.new}"
                f" old={one.bad_old}/{one.old} ratio_low={low:.2f} ratio_high={high:.2f}"
                f" log_evidence={one.log_evidence:.2f}"
            )
        for name, version in (("new", state.head.rollout.version), ("old", state.head.version)):
            yield from _delays(name, version, evidence)

    def _version(self, request: HttpRequest) -> HttpResponse:
        rules = self._rules.rules_of(request.rest)
        if rules is None:
            return HttpResponse(HTTPStatus.NOT_FOUND, f"no version {request.rest[:40]!r} is kept here\n")
        return HttpResponse(HTTPStatus.OK, canonical(rules).decode("utf-8") + "\n")

    # Writing.

    def _propose(self, request: HttpRequest) -> HttpResponse:
        try:
            proposal: _Proposal = msgspec.json.decode(request.body, type=_Proposal)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return bad_request(str(error))
        rules = RuleSet(FORMAT, proposal.rules)
        if (fault := _text_fault(proposal.reason, proposal.author)) or (
            fault := _stages_fault(proposal.stages)
        ):
            return bad_request(fault)
        if proposal.at_once and proposal.stages:
            return bad_request("$.stages: none where the rules are to be in force at once")
        errors = find_errors(rules, self._known())
        if errors:
            more = f" (and {len(errors) - 1} more)" if len(errors) > 1 else ""
            return bad_request(errors[0] + more)
        wanted_stages = () if proposal.at_once else proposal.stages or self._settings.stages
        zones = {one.name: one.zone for one in self._member.view.live_members}
        if wanted_stages and len(zones) < 2:
            # Guards against a rollout without a control group, which can give no evidence.
            return conflict("a rollout needs two live softswitches at least: ask for it at_once instead")
        stay = self._settings.stay if proposal.stay is None else proposal.stay

        def compute(state: HeadState, origin: Request, seen: int) -> Transaction:
            number = max(state.head.number, seen) + 1
            members = stages.members(zones, number, wanted_stages[0]) if wanted_stages else ()
            terms = self._settings.terms
            return steps.propose(
                state, rules, origin, proposal.expected, wanted_stages, members, terms, stay, seen
            )

        return self._write(compute, proposal.reason, proposal.author)

    def _undo(self, request: HttpRequest) -> HttpResponse:
        try:
            undo: _Undo = msgspec.json.decode(request.body or b"{}", type=_Undo)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return bad_request(str(error))
        if fault := _text_fault(undo.reason, undo.author):
            return bad_request(fault)
        return self._write(
            lambda state, origin, seen: steps.undo(state, origin, undo.expected, undo.to, seen),
            undo.reason,
            undo.author,
        )

    def _write(
        self, compute: Callable[[HeadState, Request, int], Transaction], reason: str, author: str
    ) -> HttpResponse:
        """Compute and commit a change, and repeat both where others wrote in between.

        The tag is drawn once: a log entry with it proves that this call won, even if the store's answer to
        it was lost."""
        origin = Request(self._member.name, secrets.token_hex(8), reason, author, int(time.time() * 1000))

        def read() -> HeadState | HttpResponse:
            state = self._rules.head_state
            if state is None or not self._link.is_fresh:
                return store_unavailable()
            return _won(state, origin.tag) or state

        def respond(outcome: Outcome) -> HttpResponse:
            self._link.read_again()
            state = self._rules.head_state
            if state is not None and (won := _won(state, origin.tag)) is not None:
                return won
            if outcome is Outcome.UNKNOWN:
                text = "the store's answer was lost: look at the head before asking again\n"
                return HttpResponse(HTTPStatus.ACCEPTED, text)
            return HttpResponse(HTTPStatus.OK, "ok\n")

        def compute_on(state: HeadState) -> Transaction:
            seen = self._rules.applied_head.number if self._rules.applied_head is not None else 0
            return compute(state, origin, seen)

        return write_with_retries(
            read, compute_on, self._link.commit, self._link.read_again, respond, RulesError
        )


def _won(state: HeadState, tag: str) -> HttpResponse | None:
    """Return the response to a change whose tag is in the log, None where it is not."""
    entry = next((one for one in state.log if one.tag == tag), None)
    if entry is None:
        return None
    return HttpResponse(
        HTTPStatus.OK, f"head={entry.number} did={entry.write.value} version={entry.version}\n"
    )


def _delays(name: str, version: str, evidence: list[Evidence]) -> Iterator[str]:
    for class_name in sorted(
        {class_name for part in evidence for class_name in part.versions.get(version, {})}
    ):
        encoded = [
            part.versions[version][class_name].delays
            for part in evidence
            if class_name in part.versions.get(version, {})
        ]
        merged = merge_delays(text for text in encoded if text)
        p50, p95, p99 = (merged.get_value_at_percentile(share) for share in (50, 95, 99))
        yield f"delay class={class_name} under={name} p50_ms={p50} p95_ms={p95} p99_ms={p99}"


def _text_fault(reason: str, author: str) -> str:
    for name, text, max_length in (("reason", reason, 200), ("author", author, 64)):
        if len(text) > max_length or not text.isprintable():
            return f"$.{name}: has to be at most {max_length} printable signs"
    return ""


def _stages_fault(shares: tuple[float, ...]) -> str:
    if len(shares) > steps.MAX_STAGES or not all(0.0 <= share < 1.0 for share in shares):
        return f"$.stages: at most {steps.MAX_STAGES} shares from 0 (one softswitch) to below 1"
    return "" if list(shares) == sorted(set(shares)) else "$.stages: have to grow"


def _quoted(text: str) -> str:
    return msgspec.json.encode(text).decode()
