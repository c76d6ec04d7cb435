"""Endings of attempts over IAX2: derived from the stage of the leg and from how the leg ended. No I/O.

Guards against a second attempt while the first may still be running, and against new work for a server that
drains: over UDP silence proves nothing, and a NEW that was sent once may arrive late.
"""

from __future__ import annotations

from enum import Enum

from pearloom.interface import Ending


class Stage(Enum):
    """Progress of a set-up on its leg, in order."""

    NOTHING_SENT = "nothing has been sent"
    SENT = "NEW has been sent; the peer has not replied"
    TOKEN_ASKED = "the peer asked for a token, and stored nothing of the NEW"
    TOKEN_SENT = "NEW with the token has been sent; the peer has not replied since"
    CHALLENGED = "the peer asked for an answer to its challenge before any work"
    AUTH_SENT = "the answer to the challenge has been sent"
    ACKNOWLEDGED = "the peer has acknowledged the NEW"
    ACCEPTED = "ACCEPT, RINGING or PROCEEDING was received"
    ANSWERED = "ANSWER was received"


class SetUpFailure(Enum):
    """Why a set-up ended without an answer and without a cause from the peer; the names are logged."""

    WITHDRAWN = "its server may not get new set-ups"
    TIMED_OUT = "the time limit for its answer has passed"
    CANCELLED = "the call no longer needs it"
    SILENT = "the peer acknowledged nothing after all retransmissions"
    UNKNOWN_THERE = "INVAL: the peer does not know the leg"
    UNREACHABLE = "the peer's machine reports that the port is closed"
    SPOILT = "the peer sent a malformed or unusable frame"
    CUT = "the peer hung up, and a missing earlier frame may have been an answer"


# Stages in which the peer stores no set-up: its reply shows that, or nothing has been sent.
NEVER_RAN = frozenset({Stage.NOTHING_SENT, Stage.TOKEN_ASKED, Stage.CHALLENGED})

# Endings where the set-up may have run. UNREACHABLE and UNKNOWN_THERE prove nothing: either may answer a
# later frame, after the process that received the NEW has ended.
_UNCERTAIN = {
    SetUpFailure.WITHDRAWN: Ending.RESET,
    SetUpFailure.TIMED_OUT: Ending.TIMED_OUT,
    SetUpFailure.CANCELLED: Ending.CANCELLED,
    SetUpFailure.SILENT: Ending.RESET,
    SetUpFailure.UNKNOWN_THERE: Ending.RESET,
    SetUpFailure.UNREACHABLE: Ending.RESET,
    SetUpFailure.SPOILT: Ending.RESET,
    SetUpFailure.CUT: Ending.RESET,
}
# Endings where the set-up never ran: it was not sent, or its server is not there.
_NEVER_RAN = {end: Ending.NOT_SENT for end in SetUpFailure} | {
    SetUpFailure.SILENT: Ending.UNREACHABLE,
    SetUpFailure.UNKNOWN_THERE: Ending.UNREACHABLE,
    SetUpFailure.UNREACHABLE: Ending.UNREACHABLE,
    SetUpFailure.SPOILT: Ending.ERROR,
}


def ending_for_failure(stage: Stage, end: SetUpFailure) -> Ending:
    """Return the attempt's ending for a leg that failed in this stage.

    Raises ValueError for an ANSWERED leg, whose call is established."""
    if stage is Stage.ANSWERED:
        raise ValueError("an answered set-up has not failed")
    return (_NEVER_RAN if stage in NEVER_RAN else _UNCERTAIN)[end]


# Q.931 causes in REJECT and HANGUP. Only causes that mean rejection before any work prove that nothing ran.
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
    """Return the attempt's ending for a REJECT, or a HANGUP before any ANSWER, with this cause.

    After ACCEPT the peer has started work, so no cause proves that the set-up never ran."""
    ending = _REJECTED.get(cause, Ending.ERROR)
    if stage is Stage.ACCEPTED and ending in (Ending.FULL, Ending.NOT_SENT):
        return Ending.RESET
    return ending


def may_send(stage: Stage, ready: bool, wanted: bool) -> bool:
    """Return whether a frame that starts work (NEW, NEW with a token, AUTHREP) may be sent or retransmitted.

    A retransmission is new work for a peer that missed the first frame, so the drain of its server (not
    `ready`) or the end of the call (not `wanted`) stops it in every stage. Once the peer is known to have the
    set-up (ACKNOWLEDGED and later), no retransmission is needed."""
    return ready and wanted and stage not in (Stage.ACKNOWLEDGED, Stage.ACCEPTED, Stage.ANSWERED)
