"""The head of the rules: which version is in force, what is being rolled out, each step to the next head.

A decision: no I/O, time passed in. One key, `rules/head`, holds all that there must be one order of; each
step compares with its revision, adds one to its number and writes an entry of the log. So there is one
history, of two steps tried at once one is taken, and a head that was seen is never left for a lower one.

| head | step | becomes |
| --- | --- | --- |
| no rollout, or a halted one | propose | a rollout of the new version at its first stage |
| no rollout, or a halted one | set (at once) | the new version, the one before kept for an undo |
| a rollout that goes on | propose, set | refused: the first one is named |
| a rollout that goes on | widen | more members in its stage, those before among them |
| a rollout that goes on | halt | no wider; its members back at the version before, unless it says stay |
| a rollout that goes on, at its last stage | complete | its version, the one before kept for an undo |
| a rollout, going on or halted | undo | no rollout; the version as it was |
| no rollout | undo | the version before; an undo of that is a redo |
| any | undo to a named version | that version, any rollout ended |

Guards against two operators of whom one believes in an edit that is not there, against a rollout that goes
wider after it was halted, and against a store that lost its last writes and is obeyed as if it had not.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from pearloom.coordination.port import Compare, Snapshot, Transaction, Write
from pearloom.coordination.values import decode_record
from pearloom.rules.records import EMPTY, FORMAT, RulesError, RuleSet, canonical, read_rules, version_of

HEAD, LOG, VERSIONS = "rules/head", "rules/log/", "rules/versions/"
KEPT = 64  # entries of the log, and the versions that they and the head name
MOST_MEMBERS = 2_000
MAX_STAGES = 16
_VERSION = re.compile(rf"{EMPTY}|[0-9a-f]{{32}}")


class Operation(Enum):
    """What an entry of the log did."""

    SET = "set"
    PROPOSED = "proposed"
    WIDENED = "widened"
    HALTED = "halted"
    COMPLETED = "completed"
    UNDONE = "undone"


class Terms(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """By what a rollout is judged: told with it, so that every softswitch judges alike. Times in ms."""

    soak_ms: float = 120_000.0  # of each stage at least
    evidence_ms: float = 900_000.0  # of each stage at most: what is not shown by then is not going to be
    least_calls: int = 200  # under the new version, in each stage
    tell_ms: float = 1_000.0  # how often each softswitch publishes what it counted
    look_ms: float = 2_000.0  # how often what was published is judged
    silent_ms: float = 15_000.0  # a member of the stage that tells nothing for so long halts it
    away_ms: float = 30_000.0  # so long without a store that anybody can write to halts it
    rate: float = 0.01  # of false halts, over the whole of a rollout
    tolerance: float = 1.25  # ratio of the rates of a bad end, new to old, that is still no harm


class Rollout(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A version on its way over the fleet. `id` is the head's number at which it began."""

    id: int
    version: str
    stages: tuple[float, ...]  # shares of the softswitches, growing; 0: one of them
    stage: int = 0
    members: tuple[str, ...] = ()  # of the stage
    terms: Terms = Terms()
    stay: bool = False  # halted, its members keep the new version
    halted: str = ""  # why; empty while it goes on

    @property
    def goes_on(self) -> bool:
        """Is it not halted?"""
        return not self.halted

    @property
    def last(self) -> bool:
        """Is it at its last stage?"""
        return self.stage + 1 >= len(self.stages)


class Head(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is in force. `tag` tells who wrote it, so that a lost reply can be settled."""

    format: int = FORMAT
    number: int = 0
    version: str = EMPTY
    before: str = EMPTY
    rollout: Rollout | None = None
    tag: str = ""

    def runs(self, member: str) -> str:
        """The version that this softswitch is to go by."""
        rollout = self.rollout
        if rollout is not None and member in rollout.members and (rollout.goes_on or rollout.stay):
            return rollout.version
        return self.version


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One step of history. `at_ms`: the wall clock of the softswitch that wrote it, for people alone."""

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
    """Who asks for a step, and why."""

    by: str  # the softswitch that writes it
    tag: str  # drawn for this step alone
    reason: str
    author: str = ""  # the operator; empty where the softswitches do it themselves
    at_ms: int = 0


@dataclass(frozen=True, slots=True)
class HeadState:
    """What the store holds of the head and its history; `unreadable`: keys of a newer format, or spoilt."""

    head: Head = field(default_factory=Head)
    mod: int = 0
    value: bytes | None = None  # of the head's key, as it stands there
    log: tuple[Entry, ...] = ()
    unreadable: tuple[str, ...] = ()
    versions: tuple[str, ...] = ()
    beyond: tuple[str, ...] = ()  # keys of entries that nothing will ever read again

    @property
    def readable(self) -> bool:
        """Is the head itself what this version of pearloom can read?"""
        return HEAD not in self.unreadable


def read_there(snapshot: Snapshot) -> HeadState:
    """Read the head and its log; what can't be read is named."""
    unreadable: list[str] = []
    entry, head = snapshot.find(HEAD), Head()
    if entry is not None:
        found = decode_record(entry.value, Head, FORMAT)
        if found is None or not _sound(found):
            unreadable.append(HEAD)
        else:
            head = found
    log: list[Entry] = []
    for one in snapshot.with_prefix(LOG):
        step = decode_record(one.value, Entry, FORMAT)
        if step is None or one.key != _log_key(step.number):
            unreadable.append(one.key)
        else:
            log.append(step)
    versions = tuple(one.key.removeprefix(VERSIONS) for one in snapshot.with_prefix(VERSIONS))
    beyond = tuple(_log_key(one.number) for one in log if one.number > head.number)
    mod, value = (entry.mod_revision, entry.value) if entry else (0, None)
    return HeadState(head, mod, value, tuple(log), tuple(unreadable), versions, beyond)


def _sound(head: Head) -> bool:
    rollout = head.rollout
    named = (head.version, head.before, *([rollout.version] if rollout else []))
    if head.number < 0 or not all(_VERSION.fullmatch(version) for version in named):
        return False
    if rollout is None:
        return True
    terms = rollout.terms
    return (
        0 <= rollout.stage < len(rollout.stages) <= MAX_STAGES
        and len(rollout.members) <= MOST_MEMBERS
        and min(terms.tell_ms, terms.look_ms, terms.evidence_ms, terms.silent_ms, terms.away_ms) >= 50.0
        and 0.0 < terms.rate < 1.0 <= terms.tolerance
    )


def rules_of(snapshot: Snapshot, version: str) -> RuleSet | None:
    """The rules of a version, from the store; None where they are not there or not what the name says."""
    if version == EMPTY:
        return RuleSet()
    entry = snapshot.find(VERSIONS + version)
    return read_rules(entry.value, version) if entry is not None else None


def _log_key(number: int) -> str:
    return f"{LOG}{number:010d}"


# --- Steps --------------------------------------------------------------------------------------------------
def _step(
    there: HeadState, head: Head, write: Operation, asked: Request, seen: int, put: Iterable[Write] = ()
) -> Transaction:
    """The transaction to the next head. `seen`: the highest number that anyone is known to have seen."""
    number = max(there.head.number, seen) + 1
    head = msgspec.structs.replace(head, number=number, tag=asked.tag)
    if head.rollout is not None and head.rollout.id == 0:
        head = msgspec.structs.replace(head, rollout=msgspec.structs.replace(head.rollout, id=number))
    entry = Entry(
        FORMAT, number, write, head.rollout.version if head.rollout else head.version, there.head.version,
        asked.by, asked.author, asked.reason, asked.at_ms, asked.tag,
    )  # fmt: skip
    writes = [
        Write(HEAD, msgspec.json.encode(head)),
        Write(_log_key(number), msgspec.json.encode(entry)),
        *put,
    ]
    written = {write.key for write in writes}
    writes += [Write(key, None) for key in _too_old(there, head, entry) if key not in written]
    # The value too: a head carries its tag, and a store that lost its last writes gives revisions again.
    return Transaction((Compare(HEAD, there.mod, there.value),), tuple(writes))


def _too_old(there: HeadState, head: Head, entry: Entry) -> list[str]:
    """Keys that go with this step: the log and its versions stay bounded, in few operations a step."""
    kept = sorted(there.log, key=lambda one: one.number)[-(KEPT - 1) :]
    gone = [_log_key(one.number) for one in there.log if one not in kept]
    named = {head.version, head.before, entry.version, entry.before}
    named |= {head.rollout.version} if head.rollout else set()
    named |= {version for one in kept for version in (one.version, one.before)}
    gone += [VERSIONS + version for version in there.versions if version not in named]
    return gone[:16]


def _check_open(there: HeadState, expected: int | None) -> None:
    if not there.readable:
        raise RulesError(
            "rules/head in the store can't be read: upgrade this softswitch, or restore the store"
        )
    head = there.head
    if expected is not None and expected != head.number:
        raise RulesError(f"the head is {head.number} (version {head.version}), not {expected}")


def _check_free(there: HeadState) -> None:
    rollout = there.head.rollout
    if rollout is not None and rollout.goes_on:
        first = next((one for one in there.log if one.number == rollout.id), None)
        who = f" by {first.author or first.by}" if first else ""
        raise RulesError(
            f"rollout {rollout.id} of version {rollout.version}{who} is under way: undo it first"
        )


def propose(
    there: HeadState,
    rules: RuleSet,
    asked: Request,
    expected: int,
    stages: tuple[float, ...],
    members: tuple[str, ...],
    terms: Terms,
    stay: bool = False,
    seen: int = 0,
) -> Transaction:
    """Begin a rollout; without stages the version is set at once. A RulesError says why not."""
    _check_open(there, expected)
    _check_free(there)
    head, version = there.head, version_of(rules)
    if version == head.version:
        raise RulesError(f"these rules are in force already, as version {version}")
    put = [Write(VERSIONS + version, canonical(rules))] if version != EMPTY else []
    if not stages:
        after = msgspec.structs.replace(head, version=version, before=head.version, rollout=None)
        return _step(there, after, Operation.SET, asked, seen, put)
    rollout = Rollout(0, version, stages, 0, members, terms, stay)
    return _step(there, msgspec.structs.replace(head, rollout=rollout), Operation.PROPOSED, asked, seen, put)


def _going(there: HeadState) -> Rollout:
    rollout = there.head.rollout
    if rollout is None or not rollout.goes_on:
        raise RulesError("no rollout is under way")
    return rollout


def widen(there: HeadState, members: tuple[str, ...], asked: Request, seen: int = 0) -> Transaction:
    """The next stage: those of the stage before, and these."""
    rollout = _going(there)
    if rollout.last:
        raise RulesError("the rollout is at its last stage")
    more = tuple(name for name in members if name not in rollout.members)
    wider = msgspec.structs.replace(rollout, stage=rollout.stage + 1, members=rollout.members + more)
    return _step(there, msgspec.structs.replace(there.head, rollout=wider), Operation.WIDENED, asked, seen)


def halt(there: HeadState, asked: Request, seen: int = 0) -> Transaction:
    """No wider; `asked.reason` is the one reason that is kept, with its figures."""
    halted = msgspec.structs.replace(_going(there), halted=asked.reason or "halted")
    return _step(there, msgspec.structs.replace(there.head, rollout=halted), Operation.HALTED, asked, seen)


def complete(there: HeadState, asked: Request, seen: int = 0) -> Transaction:
    """The whole fleet goes by the new version."""
    rollout, head = _going(there), there.head
    if not rollout.last:
        raise RulesError("the rollout is not at its last stage")
    after = msgspec.structs.replace(head, version=rollout.version, before=head.version, rollout=None)
    return _step(there, after, Operation.COMPLETED, asked, seen)


def undo(
    there: HeadState, asked: Request, expected: int | None = None, to: str = "", seen: int = 0
) -> Transaction:
    """Take the last edit back, or go to a named version; a rollout ends in either case."""
    _check_open(there, expected)
    head = there.head
    if to:
        if to != EMPTY and to not in there.versions:
            raise RulesError(f"version {to[:40]!r} is not known, or no longer kept")
        if to == head.version and head.rollout is None:
            raise RulesError(f"version {to} is in force already")
        after = msgspec.structs.replace(head, version=to, before=head.version, rollout=None)
    elif head.rollout is not None:
        after = msgspec.structs.replace(head, rollout=None)
    elif head.before == head.version:
        raise RulesError("there is no version before to go back to")
    else:
        after = msgspec.structs.replace(head, version=head.before, before=head.version)
    return _step(there, after, Operation.UNDONE, asked, seen)


def follows(head: Head, seen: Head | None) -> bool:
    """May a softswitch that has obeyed `seen` obey this head?

    Guards against a store without its last writes: a lower number is never obeyed, nor another head that
    has the number of the one seen."""
    if seen is None or head.number > seen.number:
        return True
    return head.number == seen.number and head.tag == seen.tag
