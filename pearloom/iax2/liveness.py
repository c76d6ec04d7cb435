"""Is the peer at the other end of standing legs still there? Which leg to ask, and when to give up. Pure.

UDP has no connection that breaks: a machine that vanished and one whose processor hangs are alike silent,
and a process that was restarted answers INVAL to each leg that it is asked about, and only then. Guards
against calls that stand for nobody: the end of a dead server's calls is owed within 8 s.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

QUIET_MS = 1_500.0  # with calls standing, a peer silent for so long is asked on one of its legs
LOST_MS = 6_500.0  # silence of a peer that owes something: what stands there is over
EACH_MS = 12_000.0  # each leg is asked at least so often, whatever is heard on others
AUDIT_MS = 2_000.0  # in which all legs are asked once one of them is not known there any more
LEAST_A_LOOK = 4  # legs asked at one look while an audit runs


@dataclass(frozen=True, slots=True)
class Look:
    """What one look found."""

    ask: tuple[int, ...] = ()  # legs to be sent a PING
    lost: bool = False  # nothing there answers any more


class Liveness:
    """The standing legs of one peer, the one heard longest ago first."""

    def __init__(self, now_ms: float, one_peer: bool = True) -> None:
        """No leg stands. `one_peer`: all legs are one machine's, whose silence ends them all."""
        self._one_peer = one_peer
        self._legs: OrderedDict[int, float] = OrderedDict()  # when each was heard or asked last
        self._heard_ms = now_ms  # when any was heard
        self._owing_ms = now_ms  # since when anything stands
        self._asked_ms = now_ms
        self._audit_from = -1.0  # legs not heard since then are asked first
        self._looked_ms = now_ms

    def __len__(self) -> int:
        """How many stand."""
        return len(self._legs)

    def stands(self, leg: int, now_ms: float) -> None:
        """A leg stands from now on."""
        if not self._legs:
            self._owing_ms = now_ms
        self._legs[leg] = now_ms

    def over(self, leg: int) -> None:
        """It stands no more."""
        self._legs.pop(leg, None)

    def heard(self, leg: int, now_ms: float) -> None:
        """Something came on a leg."""
        self._heard_ms = now_ms
        if leg in self._legs:
            self._legs[leg] = now_ms
            self._legs.move_to_end(leg)

    def doubted(self, now_ms: float) -> None:
        """The peer does not know one of its legs any more: it may know none."""
        if self._audit_from < 0:
            self._audit_from = now_ms

    def look(self, now_ms: float) -> Look:
        """Called now and then, some ten times a second."""
        gone_by, self._looked_ms = now_ms - self._looked_ms, now_ms
        if not self._legs:
            self._audit_from = -1.0
            return Look()
        if self._one_peer and now_ms - max(self._heard_ms, self._owing_ms) >= LOST_MS:
            return Look(lost=True)
        most = int(len(self._legs) * gone_by / (AUDIT_MS if self._audit_from >= 0 else EACH_MS)) + 1
        if self._audit_from >= 0:
            most = max(most, LEAST_A_LOOK)
        due: list[int] = []
        for leg, at in self._legs.items():
            audited = at < self._audit_from
            if len(due) >= most or not (audited or now_ms - at >= EACH_MS):
                break
            due.append(leg)
        if not due:
            self._audit_from = -1.0
            quiet = now_ms - max(self._heard_ms, self._owing_ms) >= QUIET_MS
            if quiet and now_ms - self._asked_ms >= QUIET_MS:
                due.append(next(iter(self._legs)))
        for leg in due:
            self._asked_ms = now_ms
            self._legs[leg] = now_ms
            self._legs.move_to_end(leg)
        return Look(tuple(due))
