"""The operators' calls for routing rules: propose, undo, see what is in force and how a rollout stands.

| call | what it does |
| --- | --- |
| `POST /v1/rules` | proposes a set of rules, on the head that it expects; a rollout, or at once |
| `POST /v1/rules/undo` | the version before, or a named one, on every softswitch; ends a rollout |
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

SHOWN_LOG = 16
SHOWN_MEMBERS = 20  # of a stage, in one line
MAX_RULES_BYTES = 48 * 1024  # of one call: with the rest of the version's key it fits the store's value


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
    """Answers the calls; each may wait for the store, in a greenlet of its own."""

    def __init__(
        self,
        link: Link,
        member: MemberHost,
        rules: RulesHost,
        rollout: RolloutHost,
        settings: RolloutSettings,
        known: Callable[[], KnownNames],
    ) -> None:
        """`known`: what rules may name at this moment."""
        self._link, self._member, self._rules, self._rollout = link, member, rules, rollout
        self._settings, self._known = settings, known

    def routes(self) -> Routes:
        """What can be asked."""
        return {
            "/v1/rules": {"GET": lambda ask: self._show(), "POST": self._propose},
            "/v1/rules/undo": {"POST": self._undo},
            "/v1/rules/": {"GET": self._version},
        }

    # --- reading --------------------------------------------------------------------------------------------
    def _show(self) -> HttpResponse:
        there = self._rules.head_state
        if there is None:
            return store_unavailable()
        return HttpResponse(HTTPStatus.OK, "".join(f"{line}\n" for line in self._lines(there)))

    def _lines(self, there: HeadState) -> Iterator[str]:
        head, followed = there.head, self._rollout.confirmation_status(there)
        yield (
            f"head={head.number} version={head.version} before={head.before}"
            f" done={str(followed.is_complete).lower()} fresh={str(self._link.is_fresh).lower()}"
        )
        if self._rules.divergence:
            seen = self._rules.applied_head.number if self._rules.applied_head else 0
            yield f"diverged seen={seen} told={_quoted(self._rules.divergence)}"
        yield from (f"unreadable={key}" for key in there.unreadable)
        if head.rollout is not None:
            one = head.rollout
            more = len(one.members) - SHOWN_MEMBERS
            names = ",".join(one.members[:SHOWN_MEMBERS]) + (f",+{more}" if more > 0 else "")
            yield (
                f"rollout={one.id} version={one.version} stage={one.stage + 1}/{len(one.stages)}"
                f" members={names} halted={_quoted(one.halted)}"
            )
            yield from self._evidence(there)
        said = self._rollout.confirmations()
        for member in self._member.view.members:
            at = said.get(member.name)
            number, version, left = (at.number, at.version, at.left) if at else (0, "-", 0)
            waits = "waits" if member.name in followed.pending else "has"
            state = "away" if member.name in followed.absent else waits
            yield (
                f"member={member.name} condition={member.condition.value} {state}={head.number}"
                f" at={number} version={version} left={left}"
            )
        for step in sorted(there.log, key=lambda step: -step.number)[:SHOWN_LOG]:
            yield (
                f"log={step.number} did={step.write.value} version={step.version} before={step.before}"
                f" by={step.by} author={_quoted(step.author)} reason={_quoted(step.reason)}"
                f" at_ms={step.at_ms}"
            )

    def _evidence(self, there: HeadState) -> Iterator[str]:
        judged, unreadable, told = self._rollout.judge_current_stage(there)
        assert there.head.rollout is not None, "asked for a rollout alone"
        yield from (f"unreadable={key}" for key in unreadable)
        for one in judged.findings:
            low, high = one.ratio_bounds(there.head.rollout.terms.rate)
            yield (
                f"evidence class={one.class_name} end={one.end.value} new={one.bad_new}/{one.new}"
                f" old={one.bad_old}/{one.old} ratio_low={low:.2f} ratio_high={high:.2f}"
                f" log_evidence={one.log_evidence:.2f}"
            )
        for name, version in (("new", there.head.rollout.version), ("old", there.head.version)):
            yield from _delays(name, version, told)

    def _version(self, ask: HttpRequest) -> HttpResponse:
        rules = self._rules.rules_of(ask.rest)
        if rules is None:
            return HttpResponse(HTTPStatus.NOT_FOUND, f"no version {ask.rest[:40]!r} is kept here\n")
        return HttpResponse(HTTPStatus.OK, canonical(rules).decode("utf-8") + "\n")

    # --- writing --------------------------------------------------------------------------------------------
    def _propose(self, ask: HttpRequest) -> HttpResponse:
        try:
            told: _Proposal = msgspec.json.decode(ask.body, type=_Proposal)
        except (msgspec.MsgspecError, UnicodeDecodeError) as trouble:
            return bad_request(str(trouble))
        rules = RuleSet(FORMAT, told.rules)
        if (wrong := _words(told.reason, told.author)) or (wrong := _stages(told.stages)):
            return bad_request(wrong)
        if told.at_once and told.stages:
            return bad_request("$.stages: none where the rules are to be in force at once")
        found = find_errors(rules, self._known())
        if found:
            more = f" (and {len(found) - 1} more)" if len(found) > 1 else ""
            return bad_request(found[0] + more)
        wanted = () if told.at_once else told.stages or self._settings.stages
        zones = {one.name: one.zone for one in self._member.view.live_members}
        if wanted and len(zones) < 2:
            # Guards against a rollout that has nobody to be compared with, and so can show nothing.
            return conflict("a rollout needs two live softswitches at least: ask for it at_once instead")
        stay = self._settings.stay if told.stay is None else told.stay

        def attempt(there: HeadState, asked: Request, seen: int) -> Transaction:
            begun = max(there.head.number, seen) + 1
            members = stages.members(zones, begun, wanted[0]) if wanted else ()
            terms = self._settings.terms
            return steps.propose(there, rules, asked, told.expected, wanted, members, terms, stay, seen)

        return self._write(attempt, told.reason, told.author)

    def _undo(self, ask: HttpRequest) -> HttpResponse:
        try:
            told: _Undo = msgspec.json.decode(ask.body or b"{}", type=_Undo)
        except (msgspec.MsgspecError, UnicodeDecodeError) as trouble:
            return bad_request(str(trouble))
        if wrong := _words(told.reason, told.author):
            return bad_request(wrong)
        return self._write(
            lambda there, asked, seen: steps.undo(there, asked, told.expected, told.to, seen),
            told.reason,
            told.author,
        )

    def _write(
        self, attempt: Callable[[HeadState, Request, int], Transaction], reason: str, author: str
    ) -> HttpResponse:
        """Compute, try, and compute again where others wrote in between.

        The tag is drawn once: that the log has it proves that this call won, whatever was lost."""
        asked = Request(self._member.name, secrets.token_hex(8), reason, author, int(time.time() * 1000))

        def read() -> HeadState | HttpResponse:
            there = self._rules.head_state
            if there is None or not self._link.is_fresh:
                return store_unavailable()
            return _won(there, asked.tag) or there

        def settled(outcome: Outcome) -> HttpResponse:
            self._link.read_again()
            there = self._rules.head_state
            if there is not None and (won := _won(there, asked.tag)) is not None:
                return won
            if outcome is Outcome.UNKNOWN:
                text = "the store's answer was lost: look at the head before asking again\n"
                return HttpResponse(HTTPStatus.ACCEPTED, text)
            return HttpResponse(HTTPStatus.OK, "ok\n")

        def step(there: HeadState) -> Transaction:
            seen = self._rules.applied_head.number if self._rules.applied_head is not None else 0
            return attempt(there, asked, seen)

        return write_with_retries(read, step, self._link.commit, self._link.read_again, settled, RulesError)


def _won(there: HeadState, tag: str) -> HttpResponse | None:
    """The answer to a step that the history shows."""
    step = next((one for one in there.log if one.tag == tag), None)
    if step is None:
        return None
    return HttpResponse(HTTPStatus.OK, f"head={step.number} did={step.write.value} version={step.version}\n")


def _delays(name: str, version: str, told: list[Evidence]) -> Iterator[str]:
    for kind in sorted({kind for one in told for kind in one.versions.get(version, {})}):
        held = [one.versions[version][kind].delays for one in told if kind in one.versions.get(version, {})]
        whole = merge_delays(text for text in held if text)
        p50, p95, p99 = (whole.get_value_at_percentile(share) for share in (50, 95, 99))
        yield f"delay class={kind} under={name} p50_ms={p50} p95_ms={p95} p99_ms={p99}"


def _words(reason: str, author: str) -> str:
    for name, text, most in (("reason", reason, 200), ("author", author, 64)):
        if len(text) > most or not text.isprintable():
            return f"$.{name}: has to be at most {most} printable signs"
    return ""


def _stages(told: tuple[float, ...]) -> str:
    if len(told) > steps.MAX_STAGES or not all(0.0 <= share < 1.0 for share in told):
        return f"$.stages: at most {steps.MAX_STAGES} shares from 0 (one softswitch) to below 1"
    return "" if list(told) == sorted(set(told)) else "$.stages: have to grow"


def _quoted(text: str) -> str:
    return msgspec.json.encode(text).decode()
