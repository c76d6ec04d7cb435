"""Ends the calls and connections of a session server that is lost, and notices when it may have been."""

from __future__ import annotations

import logging

from pearloom.core.connection import RESET_REASONS
from pearloom.core.logs import log_event
from pearloom.servers.directory import Directory
from pearloom.sip.connecting import DialFailureKind
from pearloom.sip.link import CLOSED_BY_SERVER, ORDERLY_ENDS, Link
from pearloom.sip.links import Links
from pearloom.sip.liveness import Liveness


class ServerLoss:
    """The losses of one server: what its calls and connections do not outlive."""

    def __init__(self, directory: Directory, server: str, links: Links) -> None:
        """Start as if a message had just come. `server`: its id; `links`: its connections."""
        self._exchange, self._clock = directory.exchange, directory.clock
        self._server, self._links = server, links
        self.liveness = Liveness(directory.clock.now_ms())
        self.is_ending = False  # while the connections are closed because the server is lost

    def record_connected(self, opened_ms: float) -> None:
        """A connection was established: after failed dials, the process at its other end may be a new one."""
        liveness = self.liveness
        if liveness.unanswered_dials:
            log_event(
                logging.INFO,
                "server_reconnected",
                server=self._server,
                failed_dials=liveness.unanswered_dials,
                silent_ms=round(liveness.silence_ms(opened_ms)),
                standing_calls=self._exchange.established_at(self._server),
                older_connections=len(self._links),
            )
        liveness.record_connected(opened_ms)

    def record_failed_dial(self, kind: DialFailureKind) -> str | None:
        """A dial has failed; return the reason for which the server counts as lost now, None if it does not.

        A refused connection proves nothing of the process, which may be full or have ended. One that is never
        established may be due to a lost packet, so it takes two of them, and a long silence."""
        now = self._clock.now_ms()
        if kind is DialFailureKind.REFUSED:
            self.liveness.record_refused_dial(now, has_connection=bool(self._links))
            if not self._links and self.liveness.is_overdue(now):
                return "refused"
        elif kind is DialFailureKind.UNANSWERED:
            self.liveness.record_unanswered_dial()
        return "silent" if self.liveness.is_dead(now) else None

    def record_connection_end(self, link: Link, reason: str) -> None:
        """A connection ended, whichever side ended it.

        A reset of one whose set-ups are all answered comes from a machine that knew it until then; one with a
        set-up unanswered may have been unknown for long."""
        is_reset = reason in RESET_REASONS and link.is_answered
        self.liveness.record_connection_end(
            self._clock.now_ms(),
            shows_process=reason == CLOSED_BY_SERVER or is_reset,
            is_orderly=reason in ORDERLY_ENDS,
        )

    def confirm_by_call(self, call: str) -> None:
        """The server sent something about this call: if it is established, its process still runs."""
        established_ms = self._exchange.established_ms(self._server, call)
        if established_ms is not None:
            self.liveness.confirm_process(established_ms)

    def end_all(self, reason: str) -> None:
        """End all calls and connections: the server is dead, cut off, or replaced."""
        self._exchange.handle_server_loss(self._server, self._clock.now_ms() + 1, reason)
        self.is_ending = True
        self._links.close_all(reason)
        self.is_ending = False

    def end_restarted(self, started_ms: float) -> None:
        """End what is older than the server's process: no release of its earlier calls will come."""
        self._end_older(started_ms, "restarted")
        self.liveness.record_restart(started_ms)

    def end_unconfirmed(self) -> None:
        """End what is older than an outage that the process has not shown to outlive; called periodically.

        Guards against calls that ended with a machine's outage, and stay established since it is back."""
        outage_ended_ms = self.liveness.take_unconfirmed_ms(self._clock.now_ms())
        if outage_ended_ms is not None:
            self._end_older(outage_ended_ms, "unconfirmed")

    def _end_older(self, before_ms: float, reason: str) -> None:
        self._exchange.handle_server_loss(self._server, before_ms, reason)
        self._links.close_older(before_ms, reason)
