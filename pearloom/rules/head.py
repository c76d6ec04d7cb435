"""The rules head: the version in force, the rollout under way, and each step to the next head.

A decision: no I/O, time passed in. The key `rules/head` holds all state whose changes need a single order.
Each step compares the key's revision, increments the head's number and appends a log entry. The history is
therefore linear, only one of two concurrent steps succeeds, and a softswitch never goes back to a head with a
lower number.

| head | step | next head |
| --- | --- | --- |
| no rollout, or a halted one | propose | a rollout of the new version at its first stage |
| no rollout, or a halted one | set (at once) | the new version; the previous one is kept for an undo |
| an active rollout | propose, set | refused: the error names the active rollout |
| an active rollout | widen | the next stage, with more members; the earlier ones stay in it |
| an active rollout | halt | no further stages; members return to the previous version unless `stay` is set |
| an active rollout at its last stage | complete | its version; the previous one is kept for an undo |
| an active or halted rollout | undo | no rollout; the version in force stays |
| no rollout | undo | the previous version; a second undo is a redo |
| any | undo to a named version | that version; a rollout ends |

Guards against an operator whose edit is lost to a concurrent one without notice, against a rollout that
widens after it was halted, and against following a store that lost its last writes.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from pearloom.coordination.port import Compare, Snapshot, Transaction, Write
from pearloom.coordination.values import decode_record
from pearloom.rules.records import (
    EMPTY_VERSION,
    FORMAT,
    RulesError,
    RuleSet,
    canonical,
    decode_rules,
    version_of,
)

HEAD_KEY, LOG_PREFIX, VERSIONS_PREFIX = "rules/head", "rules/log/", "rules/versions/"
MAX_LOG_ENTRIES = 64  # the versions named by these entries and by the head are kept too
MAX_MEMBERS = 2_000
MAX_STAGES = 16
_VERSION = re.compile(rf"{EMPTY_VERSION}|[0-9a-f]{{32}}")


class Operation(Enum):
    """The step that a log entry records."""

    SET = "set"
    PROPOSED = "proposed"
    WIDENED = "widened"
    HALTED = "halted"
    COMPLETED = "completed"
    UNDONE = "undone"


class RolloutTerms(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The criteria of a rollout, stored with it so that every softswitch judges it alike. Times in ms."""

    soak_ms: float = 120_000.0  # minimum duration of each stage
    evidence_ms: float = 900_000.0  # maximum duration of each stage: later evidence is not expected
    least_calls: int = 200  # minimum number of calls under the new version in each stage
    tell_ms: float = 1_000.0  # interval at which each softswitch publishes its counts
    look_ms: float = 2_000.0  # interval at which the published counts are judged
    silent_ms: float = 15_000.0  # a member of the stage that publishes nothing for so long halts the rollout
    away_ms: float = 30_000.0  # a store that nobody can write to for so long halts the rollout
    rate: float = 0.01  # accepted probability of a false halt, over the whole rollout
    tolerance: float = 1.25  # highest harmless ratio of the rates of a bad outcome, new version to old


class Rollout(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A version that is being rolled out. `id` is the number of the head that started the rollout."""

    id: int
    version: str
    stages: tuple[float, ...]  # increasing shares of the softswitches; 0: a single softswitch
    stage: int = 0
    members: tuple[str, ...] = ()  # softswitches in the current stage
    terms: RolloutTerms = RolloutTerms()
    stay: bool = False  # members keep the new version after a halt
    halted: str = ""  # reason of the halt; empty while the rollout is active

    @property
    def is_active(self) -> bool:
        """Whether the rollout has not been halted."""
        return not self.halted

    @property
    def is_last_stage(self) -> bool:
        """Whether the rollout has reached its last stage."""
        return self.stage + 1 >= len(self.stages)


class Head(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The version in force and the rollout. `tag` identifies the writer, to resolve a lost reply.

    `number` grows by one with each step, `before` is the previous version."""

    format: int = FORMAT
    number: int = 0
    version: str = EMPTY_VERSION
    before: str = EMPTY_VERSION
    rollout: Rollout | None = None
    tag: str = ""

    def version_at(self, member: str) -> str:
        """Return the version that this softswitch has to apply."""
        rollout = self.rollout
        if rollout is not None and member in rollout.members and (rollout.is_active or rollout.stay):
            return rollout.version
        return self.version


class LogEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One step of the history.

    `at_ms` is the wall clock of the softswitch that wrote the entry; it is shown to operators and decides
    nothing. `write` is the step, `by` the softswitch, `author` the operator."""

    format: int
    number: int
    write: Operation
    version: str
    before: str
    by: str
    author: str
    reason: str
    at_ms: int
    tag: str


@dataclass(frozen=True, slots=True)
class Request:
    """The origin of a step and the reason for it."""

    by: str  # the softswitch that writes the step
    tag: str  # random and unique to this step
    reason: str
    author: str = ""  # the operator; empty for a step that a softswitch takes by itself
    at_ms: int = 0


@dataclass(frozen=True, slots=True)
class HeadState:
    """The head and its history as stored; `unreadable` lists keys that are corrupt or of a newer format."""

    head: Head = field(default_factory=Head)
    mod_revision: int = 0
    value: bytes | None = None  # the stored bytes of the head's key
    log: tuple[LogEntry, ...] = ()
    unreadable: tuple[str, ...] = ()
    versions: tuple[str, ...] = ()
    orphaned_log_keys: tuple[str, ...] = ()  # keys of log entries numbered above the head

    @property
    def is_readable(self) -> bool:
        """Whether this version of pearloom can read the head itself."""
        return HEAD_KEY not in self.unreadable


def read_head_state(snapshot: Snapshot) -> HeadState:
    """Read the head and its log; keys that can't be read are listed in `unreadable`."""
    unreadable: list[str] = []
    entry, head = snapshot.find(HEAD_KEY), Head()
    if entry is not None:
        decoded_head = decode_record(entry.value, Head, FORMAT)
        if decoded_head is None or not _is_valid(decoded_head):
            unreadable.append(HEAD_KEY)
        else:
            head = decoded_head
    log: list[LogEntry] = []
    for stored in snapshot.with_prefix(LOG_PREFIX):
        log_entry = decode_record(stored.value, LogEntry, FORMAT)
        if log_entry is None or stored.key != _log_key(log_entry.number):
            unreadable.append(stored.key)
        else:
            log.append(log_entry)
    versions = tuple(
        stored.key.removeprefix(VERSIONS_PREFIX) for stored in snapshot.with_prefix(VERSIONS_PREFIX)
    )
    orphaned = tuple(_log_key(logged.number) for logged in log if logged.number > head.number)
    mod_revision, value = (entry.mod_revision, entry.value) if entry else (0, None)
    return HeadState(head, mod_revision, value, tuple(log), tuple(unreadable), versions, orphaned)


def _is_valid(head: Head) -> bool:
    rollout = head.rollout
    versions = (head.version, head.before, *([rollout.version] if rollout else []))
    if head.number < 0 or not all(_VERSION.fullmatch(version) for version in versions):
        return False
    if rollout is None:
        return True
    terms = rollout.terms
    return (
        0 <= rollout.stage < len(rollout.stages) <= MAX_STAGES
        and len(rollout.members) <= MAX_MEMBERS
        and min(terms.tell_ms, terms.look_ms, terms.evidence_ms, terms.silent_ms, terms.away_ms) >= 50.0
        and 0.0 < terms.rate < 1.0 <= terms.tolerance
    )


def rules_of(snapshot: Snapshot, version: str) -> RuleSet | None:
    """Return the stored rules of a version; None if they are missing or don't match its name."""
    if version == EMPTY_VERSION:
        return RuleSet()
    entry = snapshot.find(VERSIONS_PREFIX + version)
    return decode_rules(entry.value, version) if entry is not None else None


def _log_key(number: int) -> str:
    return f"{LOG_PREFIX}{number:010d}"


def _step(
    state: HeadState,
    head: Head,
    operation: Operation,
    request: Request,
    highest_seen: int,
    more_writes: Iterable[Write] = (),
) -> Transaction:
    """Build the transaction to the next head; its number exceeds `highest_seen`, the highest one seen."""
    number = max(state.head.number, highest_seen) + 1
    head = msgspec.structs.replace(head, number=number, tag=request.tag)
    if head.rollout is not None and head.rollout.id == 0:
        head = msgspec.structs.replace(head, rollout=msgspec.structs.replace(head.rollout, id=number))
    entry = LogEntry(
        FORMAT, number, operation, head.rollout.version if head.rollout else head.version, state.head.version,
        request.by, request.author, request.reason, request.at_ms, request.tag,
    )  # fmt: skip
    writes = [
        Write(HEAD_KEY, msgspec.json.encode(head)),
        Write(_log_key(number), msgspec.json.encode(entry)),
        *more_writes,
    ]
    written = {write.key for write in writes}
    writes += [Write(key, None) for key in _outdated_keys(state, head, entry) if key not in written]
    # Compares the value too: a store that lost its last writes reuses revisions, but the value holds the tag.
    return Transaction((Compare(HEAD_KEY, state.mod_revision, state.value),), tuple(writes))


def _outdated_keys(state: HeadState, head: Head, entry: LogEntry) -> list[str]:
    """Return keys to delete in this step; bounds the log and its versions with few operations a step."""
    retained = sorted(state.log, key=lambda logged: logged.number)[-(MAX_LOG_ENTRIES - 1) :]
    outdated = [_log_key(logged.number) for logged in state.log if logged not in retained]
    referenced = {head.version, head.before, entry.version, entry.before}
    referenced |= {head.rollout.version} if head.rollout else set()
    referenced |= {version for logged in retained for version in (logged.version, logged.before)}
    outdated += [VERSIONS_PREFIX + version for version in state.versions if version not in referenced]
    return outdated[:16]


def _check_head(state: HeadState, expected: int | None) -> None:
    if not state.is_readable:
        raise RulesError(
            "rules/head in the store can't be read: upgrade this softswitch, or restore the store"
        )
    head = state.head
    if expected is not None and expected != head.number:
        raise RulesError(f"the head is {head.number} (version {head.version}), not {expected}")


def _check_no_active_rollout(state: HeadState) -> None:
    rollout = state.head.rollout
    if rollout is not None and rollout.is_active:
        proposal = next((logged for logged in state.log if logged.number == rollout.id), None)
        proposed_by = f" by {proposal.author or proposal.by}" if proposal else ""
        raise RulesError(
            f"rollout {rollout.id} of version {rollout.version}{proposed_by} is under way: undo it first"
        )


def propose(
    state: HeadState,
    rules: RuleSet,
    request: Request,
    expected: int,
    stages: tuple[float, ...],
    members: tuple[str, ...],
    terms: RolloutTerms,
    stay: bool = False,
    highest_seen: int = 0,
) -> Transaction:
    """Start a rollout of `rules`, or set them at once if `stages` is empty.

    `expected` is the number of the head that the proposal is based on. A RulesError gives the reason of a
    refusal."""
    _check_head(state, expected)
    _check_no_active_rollout(state)
    head, version = state.head, version_of(rules)
    if version == head.version:
        raise RulesError(f"these rules are in force already, as version {version}")
    writes = [Write(VERSIONS_PREFIX + version, canonical(rules))] if version != EMPTY_VERSION else []
    if not stages:
        next_head = msgspec.structs.replace(head, version=version, before=head.version, rollout=None)
        return _step(state, next_head, Operation.SET, request, highest_seen, writes)
    rollout = Rollout(0, version, stages, 0, members, terms, stay)
    return _step(
        state,
        msgspec.structs.replace(head, rollout=rollout),
        Operation.PROPOSED,
        request,
        highest_seen,
        writes,
    )


def _active_rollout(state: HeadState) -> Rollout:
    rollout = state.head.rollout
    if rollout is None or not rollout.is_active:
        raise RulesError("no rollout is under way")
    return rollout


def widen(state: HeadState, members: tuple[str, ...], request: Request, highest_seen: int = 0) -> Transaction:
    """Go to the next stage, with these members in addition to the present ones."""
    rollout = _active_rollout(state)
    if rollout.is_last_stage:
        raise RulesError("the rollout is at its last stage")
    added = tuple(name for name in members if name not in rollout.members)
    wider = msgspec.structs.replace(rollout, stage=rollout.stage + 1, members=rollout.members + added)
    return _step(
        state, msgspec.structs.replace(state.head, rollout=wider), Operation.WIDENED, request, highest_seen
    )


def halt(state: HeadState, request: Request, highest_seen: int = 0) -> Transaction:
    """Halt the rollout; `request.reason`, with its figures, is stored in the head."""
    halted = msgspec.structs.replace(_active_rollout(state), halted=request.reason or "halted")
    return _step(
        state, msgspec.structs.replace(state.head, rollout=halted), Operation.HALTED, request, highest_seen
    )


def complete(state: HeadState, request: Request, highest_seen: int = 0) -> Transaction:
    """Put the new version in force on the whole fleet and end the rollout."""
    rollout, head = _active_rollout(state), state.head
    if not rollout.is_last_stage:
        raise RulesError("the rollout is not at its last stage")
    next_head = msgspec.structs.replace(head, version=rollout.version, before=head.version, rollout=None)
    return _step(state, next_head, Operation.COMPLETED, request, highest_seen)


def undo(
    state: HeadState, request: Request, expected: int | None = None, to: str = "", highest_seen: int = 0
) -> Transaction:
    """Revert the last edit, or go to the version `to`; a rollout ends in either case."""
    _check_head(state, expected)
    head = state.head
    if to:
        if to != EMPTY_VERSION and to not in state.versions:
            raise RulesError(f"version {to[:40]!r} is not known, or no longer kept")
        if to == head.version and head.rollout is None:
            raise RulesError(f"version {to} is in force already")
        next_head = msgspec.structs.replace(head, version=to, before=head.version, rollout=None)
    elif head.rollout is not None:
        next_head = msgspec.structs.replace(head, rollout=None)
    elif head.before == head.version:
        raise RulesError("there is no version before to go back to")
    else:
        next_head = msgspec.structs.replace(head, version=head.before, before=head.version)
    return _step(state, next_head, Operation.UNDONE, request, highest_seen)


def may_apply(head: Head, applied: Head | None) -> bool:
    """Whether a softswitch whose newest head is `applied` may apply this head.

    Guards against a store that lost its last writes: a head with a lower number is never applied, nor a
    different head with the same number."""
    if applied is None or head.number > applied.number:
        return True
    return head.number == applied.number and head.tag == applied.tag
