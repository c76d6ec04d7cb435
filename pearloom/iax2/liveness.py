"""Peer liveness on established legs: which legs to ping, and when to treat the peer as lost. No I/O.

UDP has no connection that breaks. A machine that vanished and one whose processor hangs are both silent, and
a restarted process answers INVAL for each old leg that it is asked about, and only then. Guards against
established calls whose peer no longer has them: the calls of a dead server must be released within 8 s.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

QUIET_MS = 1_500.0  # a peer with established legs that is silent for this long is pinged on one of them
# Of silence, after which a frame on a leg that is not established may come from a new process. The pool list
# tells within 7 s of a restart, so a shorter outage is over within the 8 s.
RESUMED_AFTER_MS = 1_000.0
PEER_LOST_MS = 6_500.0  # a peer with established legs that is silent for this long has lost them all
LEG_PING_MS = 12_000.0  # each leg is pinged at least this often, whatever arrives on other legs
AUDIT_MS = 2_000.0  # time to ping all legs once the peer does not know one of them
MIN_AUDIT_PINGS = 4  # legs pinged per check during an audit


@dataclass(frozen=True, slots=True)
class LivenessCheck:
    """The result of one check."""

    legs_to_ping: tuple[int, ...] = ()  # call numbers of legs to send a PING on
    is_lost: bool = False  # the peer no longer answers


class Liveness:
    """Established legs in order of their last activity, the oldest first."""

    def __init__(self, now_ms: float, is_single_peer: bool = True) -> None:
        """Start without legs. `is_single_peer`: all legs lead to one machine, whose silence ends them all."""
        self._is_single_peer = is_single_peer
        self._legs: OrderedDict[int, float] = OrderedDict()  # call number: time of its last frame or PING, ms
        self._received_ms = now_ms  # time of the last frame on any leg
        self._established_ms = now_ms  # time since which there has been an established leg
        self._pinged_ms = now_ms
        # Start of the audit, -1: none; legs without activity since then are pinged first.
        self._audit_from_ms = -1.0
        self._checked_ms = now_ms
        self._has_resumed = False  # the peer spoke again after a silence, and not on an established leg

    def __len__(self) -> int:
        """The number of established legs."""
        return len(self._legs)

    def add(self, leg: int, now_ms: float) -> None:
        """Add a leg that has been established."""
        if not self._legs:
            self._established_ms = now_ms
        self._legs[leg] = now_ms

    def remove(self, leg: int) -> None:
        """Remove a leg that is no longer established."""
        self._legs.pop(leg, None)

    def record_received(self, leg: int, now_ms: float) -> None:
        """Record that a frame arrived on a leg.

        Guards against a process that has new legs alone, and whose frames hide that the old ones are gone."""
        if leg not in self._legs and self._silence_ms(now_ms) >= RESUMED_AFTER_MS:
            self._has_resumed = self._is_single_peer
        self._received_ms = now_ms
        if leg in self._legs:
            self._legs[leg] = now_ms
            self._legs.move_to_end(leg)

    def start_audit(self, now_ms: float) -> None:
        """Check all legs soon: the peer no longer knows one of its legs and may know none."""
        if self._audit_from_ms < 0:
            self._audit_from_ms = now_ms

    def check(self, now_ms: float) -> LivenessCheck:
        """Select the legs to ping and detect a lost peer; called about ten times a second."""
        elapsed_ms, self._checked_ms = now_ms - self._checked_ms, now_ms
        if not self._legs:
            self._audit_from_ms = -1.0
            return LivenessCheck()
        if self._is_single_peer and self._silence_ms(now_ms) >= PEER_LOST_MS:
            return LivenessCheck(is_lost=True)
        max_pings = (
            int(len(self._legs) * elapsed_ms / (AUDIT_MS if self._audit_from_ms >= 0 else LEG_PING_MS)) + 1
        )
        if self._audit_from_ms >= 0:
            max_pings = max(max_pings, MIN_AUDIT_PINGS)
        due: list[int] = []
        for leg, active_ms in self._legs.items():
            is_audited = active_ms < self._audit_from_ms
            if len(due) >= max_pings or not (is_audited or now_ms - active_ms >= LEG_PING_MS):
                break
            due.append(leg)
        if not due:
            self._audit_from_ms = -1.0
            is_quiet = self._silence_ms(now_ms) >= QUIET_MS and now_ms - self._pinged_ms >= QUIET_MS
            if is_quiet or self._has_resumed:
                due.append(next(iter(self._legs)))
        self._has_resumed = False
        for leg in due:
            self._pinged_ms = now_ms
            self._legs[leg] = now_ms
            self._legs.move_to_end(leg)
        return LivenessCheck(tuple(due))

    def _silence_ms(self, now_ms: float) -> float:
        """Return for how long the peer has been silent while legs were established."""
        return now_ms - max(self._received_ms, self._established_ms)
