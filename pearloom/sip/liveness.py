"""Decides when the process that has a session server's calls is considered dead. No I/O; time is passed in.

Guards against calls that stay established for ever at a machine that vanished: its connections stay open
without a message, and new ones are never established. Guards also against a machine that comes back from an
outage without its calls: the connections and messages of its new process say nothing of the process before.
"""

from __future__ import annotations

import math

from pearloom.servers.contact import Contact, Heard, Outage

SILENT_MS = 2500.0  # of silence while a message is due, after which a new connection is opened
# Unanswered dials in a row, without a message between them, that mean no contact; one may be a lost packet.
OUTAGE_DIALS = 2
# Of silence. The calls of a dead machine have to be released within 8 s, but a machine that is only cut off
# keeps its calls: this is as late as the 8 s allow, with 0.75 s for a dial.
DEAD_AFTER_MS = 6500.0
# From the last sign of a process until it has to have shown that it outlived an outage, or the end of
# its last connection: as late as the 8 s allow, with 0.75 s for a softswitch that gets to its timers late.
CONFIRM_WITHIN_MS = 7250.0


class Liveness:
    """Tracks one server's silence, failed dials, and the outages that its process may not have outlived.

    A process is known by its connections and its calls: a message on a connection that is older than the end
    of an outage, or about a call that is, can only come from the process of before."""

    def __init__(self, now_ms: float) -> None:
        """Start as if a message had just come, with none due."""
        self._last_sign_ms = now_ms
        self._due_since_ms = now_ms
        self.unanswered_dials = 0  # in a row, without a message or a refusal between them
        self._refused_ms = -math.inf  # when a connection was refused last
        self._has_orderly_end = True  # of the connection that ended last
        self._may_be_replaced = False  # the last connection broke, and nothing listened there after that
        self._outages: list[Outage] = []  # which no message has shown to be outlived; the oldest first
        self._heard_at_ms = self._known_since_ms = 0.0  # of the last message, as in `Heard`

    @property
    def is_in_doubt(self) -> bool:
        """Is it unknown whether the process that has the calls still runs?"""
        return self.unanswered_dials >= OUTAGE_DIALS or bool(self._outages)

    def record_message(self, now_ms: float, opened_ms: float) -> None:
        """A message came on a connection that was opened at `opened_ms`."""
        self._last_sign_ms = max(now_ms, self._last_sign_ms)
        self.unanswered_dials = 0
        self._heard_at_ms, self._known_since_ms = now_ms, opened_ms
        self.confirm_process(opened_ms)

    def confirm_process(self, known_since_ms: float) -> None:
        """The process that had a connection or call since this time still runs."""
        self._known_since_ms = min(self._known_since_ms, known_since_ms)
        if self._outages:
            self._outages = [outage for outage in self._outages if outage.ended_ms <= known_since_ms]

    def record_restart(self, started_ms: float) -> None:
        """The pool list reported a later start: what an earlier outage may have ended is known now."""
        self._outages = [outage for outage in self._outages if outage.last_sign_ms >= started_ms]

    @property
    def heard(self) -> Heard:
        """The last message."""
        return Heard(self._heard_at_ms, self._known_since_ms)

    @property
    def contact(self) -> Contact:
        """What the next process of an upgrade has to know at its start."""
        silent_since_ms = max(self._last_sign_ms, self._due_since_ms)
        return Contact(silent_since_ms, self.unanswered_dials, tuple(self._outages))

    def inherit(self, contact: Contact) -> None:
        """Go on from what the previous process of an upgrade knows.

        Guards against a silence or an outage that is counted anew from the upgrade on."""
        self._last_sign_ms = self._due_since_ms = contact.silent_since_ms
        self.unanswered_dials = contact.unanswered_dials
        self._outages = list(contact.outages)

    def expect_message(self, now_ms: float) -> None:
        """From this time on a message is due; none was before."""
        self._due_since_ms = now_ms

    def record_unanswered_dial(self) -> None:
        """A connection was not established in time: the server's machine may be out of contact."""
        self.unanswered_dials += 1

    def record_connection_end(self, now_ms: float, shows_process: bool, is_orderly: bool) -> None:
        """A connection ended. `shows_process`: the process closed it, or its machine knew it until now.

        `is_orderly`: closed by a process that went on to run, or for a reason of this side."""
        self._has_orderly_end = is_orderly
        if shows_process and not self.unanswered_dials and not self._outages:
            self._last_sign_ms = max(now_ms, self._last_sign_ms)

    def record_refused_dial(self, now_ms: float, has_connection: bool) -> None:
        """A connection was refused: the server's machine is in contact, and nothing listens there now.

        Guards against a machine that comes back without its process and looks alive: the process may have
        ended, or live and accept no connection, so neither the silence nor an outage is over for it."""
        self._end_outage(now_ms)
        self._refused_ms = now_ms
        self._may_be_replaced = not has_connection and not self._has_orderly_end

    def record_connected(self, now_ms: float) -> None:
        """A connection was established: the machine is in contact, and some process listens there."""
        if self._may_be_replaced:
            self._add_outage(now_ms)
        self._end_outage(now_ms)
        self._last_sign_ms = now_ms

    def _end_outage(self, now_ms: float) -> None:
        """The machine is in contact: if it was out of contact, its process may not have outlived that."""
        if self.unanswered_dials >= OUTAGE_DIALS:
            self._add_outage(now_ms)
        self.unanswered_dials = 0

    def _add_outage(self, ended_ms: float) -> None:
        self._outages.append(Outage(max(self._last_sign_ms, self._due_since_ms), ended_ms))
        self._may_be_replaced = False

    def is_dial_due(self, now_ms: float) -> bool:
        """Has the server been silent for long while a message is due, and refused no connection since?"""
        return self.silence_ms(now_ms) >= SILENT_MS and now_ms - self._refused_ms >= SILENT_MS

    def is_dead(self, now_ms: float) -> bool:
        """Is the server dead, so that its established calls are to be released?"""
        return self.unanswered_dials >= OUTAGE_DIALS and self.silence_ms(now_ms) >= DEAD_AFTER_MS

    def is_overdue(self, now_ms: float) -> bool:
        """Has a process that can be heard on no connection had its time to show itself?"""
        return self.silence_ms(now_ms) >= CONFIRM_WITHIN_MS

    def take_unconfirmed_ms(self, now_ms: float) -> float | None:
        """Return the end of the last outage that the process has not outlived by now, and forget it.

        Calls established before that time are to be released. None: there is no such outage."""
        expired = [outage for outage in self._outages if now_ms - outage.last_sign_ms >= CONFIRM_WITHIN_MS]
        if not expired:
            return None
        self._outages = [outage for outage in self._outages if outage not in expired]
        return max(outage.ended_ms for outage in expired)

    def silence_ms(self, now_ms: float) -> float:
        """Return for how long the server has been silent while a message is due."""
        return now_ms - max(self._last_sign_ms, self._due_since_ms)
