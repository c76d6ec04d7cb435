"""What the state of a leg to a session server proves of its set-up, and so what the exchange may do next.

Guards against a second attempt beside one that may be at work, and against new work for a server that
drains: over UDP silence proves nothing, and a NEW that was sent once may arrive late. Pure: no I/O.
"""

from __future__ import annotations

from enum import Enum

from pearloom.interface import Ending


class Stage(Enum):
    """How far a set-up has come on its leg, in order."""

    NOTHING_SENT = "nothing has left"
    SENT = "NEW has left; the peer has said nothing"
    TOKEN_ASKED = "the peer wants a token, and kept nothing of the NEW"
    TOKEN_SENT = "NEW with the token has left; the peer has said nothing since"
    CHALLENGED = "the peer wants an answer to its challenge first"
    AUTH_SENT = "the answer to the challenge has left"
    ACKNOWLEDGED = "the peer has acknowledged the NEW"
    ACCEPTED = "ACCEPT, RINGING or PROCEEDING came"
    ANSWERED = "ANSWER came"


class SetUpFailure(Enum):
    """What ends a set-up's leg without an answer, but for a cause that the peer names."""

    WITHDRAWN = "its server may get no new set-up"
    TIMED_OUT = "the time for its answer is over"
    CANCELLED = "the call does not want it any more"
    SILENT = "the peer confirmed nothing after all repeats"
    UNKNOWN_THERE = "INVAL: the peer does not know the leg"
    UNREACHABLE = "the peer's machine says that nobody listens"
    SPOILT = "what the peer sent can't be used"
    CUT = "the peer hung up, and a frame before that is missing: it may have been an answer"


# Stages in which the peer has kept nothing that could run: it said so itself, or no byte has left.
NEVER_RAN = frozenset({Stage.NOTHING_SENT, Stage.TOKEN_ASKED, Stage.CHALLENGED})

# What remains where the set-up may have run. UNREACHABLE and UNKNOWN_THERE prove nothing: either may answer a
# later frame than the one that a process since gone has taken.
_DOUBT = {
    SetUpFailure.WITHDRAWN: Ending.RESET,
    SetUpFailure.TIMED_OUT: Ending.TIMED_OUT,
    SetUpFailure.CANCELLED: Ending.CANCELLED,
    SetUpFailure.SILENT: Ending.RESET,
    SetUpFailure.UNKNOWN_THERE: Ending.RESET,
    SetUpFailure.UNREACHABLE: Ending.RESET,
    SetUpFailure.SPOILT: Ending.RESET,
    SetUpFailure.CUT: Ending.RESET,
}
# The same where it never ran: it was not sent, or the one it was for is not there.
_PROVEN = {end: Ending.NOT_SENT for end in SetUpFailure} | {
    SetUpFailure.SILENT: Ending.UNREACHABLE,
    SetUpFailure.UNKNOWN_THERE: Ending.UNREACHABLE,
    SetUpFailure.UNREACHABLE: Ending.UNREACHABLE,
    SetUpFailure.SPOILT: Ending.ERROR,
}


def ending_for_failure(stage: Stage, end: SetUpFailure) -> Ending:
    """The ending that a leg's end stands for. An ANSWERED leg has no such end: its call stands."""
    if stage is Stage.ANSWERED:
        raise ValueError("an answered set-up has ended well")
    return (_PROVEN if stage in NEVER_RAN else _DOUBT)[end]


# Q.931 causes in REJECT and HANGUP. Only what says that the call was turned away before any work proves it.
CAUSE_NORMAL = 16
CAUSE_OUT_OF_ORDER = 27
CAUSE_NO_CIRCUIT = 34
CAUSE_NETWORK_OUT_OF_ORDER = 38
CAUSE_TEMPORARY_FAILURE = 41
CAUSE_CONGESTION = 42
CAUSE_TIMER_EXPIRED = 102
_REJECTED = {
    CAUSE_NO_CIRCUIT: Ending.FULL,
    CAUSE_CONGESTION: Ending.FULL,
    CAUSE_OUT_OF_ORDER: Ending.NOT_SENT,
    CAUSE_NETWORK_OUT_OF_ORDER: Ending.RESET,
    CAUSE_TIMER_EXPIRED: Ending.TIMED_OUT,
}


def ending_for_cause(stage: Stage, cause: int) -> Ending:
    """What a REJECT (or a HANGUP before any ANSWER) with this cause proves.

    After ACCEPT the peer has been at work, so no cause proves that the call never ran."""
    ending = _REJECTED.get(cause, Ending.ERROR)
    if stage is Stage.ACCEPTED and ending in (Ending.FULL, Ending.NOT_SENT):
        return Ending.RESET
    return ending


def may_send(stage: Stage, ready: bool, wanted: bool) -> bool:
    """May a frame that starts work leave, or leave again: NEW, NEW with a token, AUTHREP?

    A repeat is new work for a peer that missed the first, so a drain or the call's end stops it, in every
    stage. Once the peer is known to have it (HEARD and later), none is needed."""
    return ready and wanted and stage not in (Stage.ACKNOWLEDGED, Stage.ACCEPTED, Stage.ANSWERED)
