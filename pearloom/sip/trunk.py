"""One session server over SIP: its connections, and what their silence means."""

from __future__ import annotations

import logging

import gevent

from pearloom.core.calls import Media, SetUpAttempt
from pearloom.core.config import Server
from pearloom.core.connection import OutboundMessage
from pearloom.core.errors import AttemptError, Malformed, Progress
from pearloom.core.exchange import CAUSE_NORMAL
from pearloom.core.logs import log_event
from pearloom.core.recent import RecentValues
from pearloom.interface import Ending, PoolState
from pearloom.servers.directory import Directory
from pearloom.settings import read_report
from pearloom.sip import codec as sip
from pearloom.sip import requests
from pearloom.sip.connecting import DialEnd, DialFailure, connect
from pearloom.sip.dialling import Dialling
from pearloom.sip.link import Link, OutboundSetUp, refusal
from pearloom.sip.links import Links
from pearloom.sip.liveness import QUIET_MS, Liveness
from pearloom.sip.requests import sequence_of

MUTE_FROM_MS = 100.0  # a set-up given up later than this, with no word on its connection since, tells of it
REDIAL_MS = 250.0  # pause between dials while calls stand at a server
BYE_KEPT_MS = 5000.0  # a BYE whose connection ends within this time, unanswered, is sent again
GIVEN_UP_KEPT_MS = 20_000.0  # a set-up given up whose last answer may still come


class SipTrunk:
    """All that concerns one session server, by its id."""

    def __init__(
        self,
        side: Directory,
        server: Server,
        dial_timeout_ms: float,
        idle_ms: float,
        handshake_price: float,
    ) -> None:
        """Know the server; not connected yet. `idle_ms`: after which it closes an idle connection."""
        self._hand_shakes = Dialling(handshake_price)
        self._side = side
        self._exchange = side.exchange
        self._dial_timeout_s = dial_timeout_ms / 1000.0
        self.name = server.entry.server
        self.server = server
        self._links = Links(idle_ms)
        self._dead = False  # while its connections are closed since it is dead
        self.dialling = False
        self._waiting: list[OutboundMessage] = []
        self._set_ups: dict[str, OutboundSetUp] = {}
        self._given_up = RecentValues[tuple[str, int]](GIVEN_UP_KEPT_MS)  # call: number, CSeq
        self._byes = RecentValues[OutboundMessage](BYE_KEPT_MS)
        self._liveness = Liveness(side.clock.now_ms())

    @property
    def is_ready(self) -> bool:
        """May it get new set-ups?"""
        return self.server.entry.state is PoolState.READY

    @property
    def _owing(self) -> bool:
        """Is anything to come from it?"""
        return bool(self._set_ups) or self._exchange.established_at(self.name) > 0

    @property
    def is_idle(self) -> bool:
        """Is it gone, with nothing left to do?"""
        busy = self._owing or self.dialling or self._waiting
        return self.server.entry.state is PoolState.GONE and not busy

    @property
    def connections(self) -> int:
        """How many it holds, the one under way included."""
        return len(self._links) + self.dialling

    @property
    def now_ms(self) -> float:
        """The time."""
        return self._side.clock.now_ms()

    # --- what the exchange asks for -------------------------------------------------------------------------
    def set_up(self, set_up: SetUpAttempt) -> None:
        """Send an INVITE."""
        outbound = OutboundSetUp(
            requests.invite(set_up), set_up, self._may_leave, self._exchange.count_forwarded
        )
        if not self._owing:
            self._liveness.owes_from(self.now_ms)
        self._set_ups[outbound.call] = outbound
        self._send(outbound)

    def _may_leave(self, outbound: OutboundSetUp) -> bool:
        """Asked right before its first byte is written: is its connection open, and its caller there?"""
        link = outbound.link
        if link is not None and link.connection.peer_ended:
            # Guards against a set-up in doubt since it crossed a close that had come and was not read yet.
            link.ended = outbound.withdrawn = True
            self._failed(outbound, AttemptError(Progress.CONNECTING, "closed by server", line_only=True))
            return False
        return self._exchange.may_send(outbound.call, outbound.set_up.attempt)

    def give_up(self, call: str) -> Progress:
        """Forget an INVITE; if any of it has left, a CANCEL follows."""
        outbound = self._set_ups.pop(call, None)
        if outbound is None:
            return Progress.NOT_DIALLED
        if outbound.link is not None:
            outbound.link.open.pop(call, None)
        if outbound.progress < Progress.PARTLY_SENT:
            outbound.withdrawn = True
        elif outbound.link is not None:
            self._side.counters.add("cancels_out")
            now = self.now_ms
            outbound.link.send(OutboundMessage(requests.cancel(outbound.set_up)))
            if outbound.link.heard_ms <= outbound.sent_ms < now - MUTE_FROM_MS:
                outbound.link.mute_ms = min(outbound.link.mute_ms, now)
                self._hand_shakes.broke(now)
            self._given_up.put(call, (outbound.set_up.request.number, sequence_of(outbound.set_up)), now)
        return outbound.progress

    def withdraw_unsent(self) -> None:
        """End what has not begun to leave."""
        for outbound in [one for one in self._set_ups.values() if one.progress < Progress.PARTLY_SENT]:
            outbound.withdrawn = True
            self._failed(outbound, AttemptError(Progress.NOT_DIALLED, "server not ready"))

    def release(self, call: str, number: str, cause: int) -> None:
        """Send a BYE."""
        self._side.counters.add("byes_out")
        outbound = OutboundMessage(requests.bye(call, number, cause), call)
        self._byes.put(call, outbound, self.now_ms)
        self._send(outbound)

    def update(self, server: Server) -> None:
        """The list says something new of this server."""
        before, self.server = self.server, server
        if server.entry.started_us > before.entry.started_us:
            # Guards against calls that stood on the process before this one, of which nothing will come.
            started_ms = server.entry.started_us / 1000.0
            self._exchange.handle_server_loss(self.name, started_ms, "restarted")
            self._links.close_older(started_ms, "restarted")
        if server.entry.state is PoolState.GONE:
            self.watch()

    # --- connections ----------------------------------------------------------------------------------------
    def _send(self, outbound: OutboundMessage) -> None:
        """Hand a message to a connection, or keep it until one is up."""
        best = self._links.best()
        if best is None or self._hand_shakes.wants_another(len(best.open), self.now_ms):
            self._dial_another()
        if best is None and not isinstance(outbound, OutboundSetUp):
            best = self._links.newest()
        if best is None:
            self._waiting.append(outbound)
            return
        if isinstance(outbound, OutboundSetUp):
            outbound.link, outbound.sent_ms = best, self.now_ms
            best.open[outbound.call] = outbound
        best.send(outbound)

    def _dial_another(self) -> None:
        may_open = not self._links or self._side.may_open_another
        if may_open and self._links.make_room():
            self.dial()

    def send_media(self, call: str, media: Media) -> None:
        """Signalling alone goes here: what is said in a call reaches this server as its description says."""
        self._side.counters.add("media_dropped")

    def dial(self) -> None:
        """Open a connection; what waits goes out on it."""
        if not self.dialling:
            self.dialling = True
            gevent.spawn(self._dial)

    def _dial(self) -> None:
        self._side.counters.add("dials")
        for outbound in self._waiting:
            outbound.progress = Progress.CONNECTING
        address = self.server.address
        dialled = connect(address, self._dial_timeout_s)
        self.dialling = False
        if isinstance(dialled, DialFailure):
            self._dial_failed(dialled)
            return
        if address != self.server.address:
            # Guards against set-ups for a process that has started elsewhere while the old address answered.
            dialled.close()
            self.dial()
            return
        try:
            link = Link(self, dialled, self._side.clock.now_ms())
        except OSError as trouble:  # reset before anything was said
            dialled.close()
            self._dial_failed(DialFailure(DialEnd.UNANSWERED, str(trouble)))
            return
        self._liveness.dial_came_up(self.now_ms)
        self._links.add(link)
        link.connection.start()
        waiting, self._waiting = self._waiting, []
        for outbound in waiting:
            if not outbound.withdrawn:
                self._send(outbound)

    def _dial_failed(self, failure: DialFailure) -> None:
        refused = failure.end is DialEnd.REFUSED
        log_event(logging.INFO, "dial_failed", server=self.name, refused=refused, reason=failure.reason)
        if failure.end is not DialEnd.NOT_TRIED:
            self._liveness.dial_failed()
        waiting, self._waiting = self._waiting, []
        for outbound in waiting:
            if isinstance(outbound, OutboundSetUp):
                if not outbound.withdrawn:
                    self._failed(outbound, AttemptError(Progress.CONNECTING, failure.reason))
            else:
                self._waiting.append(outbound)
        if refused and self._links and not self.is_ready:
            # Guards against cutting calls of a server that drains: it takes no new connection, but those that
            # are open go on. The refusal is a sign of life of its machine.
            self._liveness.heard(self.now_ms)
            return
        # With no connection left, a refused one proves that the process is not there; one that never comes up
        # may be a lost packet, so it takes two, and a silence.
        if refused and not self._links:
            self._lost("refused")
        elif self._liveness.is_dead(self.now_ms):
            self._lost("silent")
        elif self._exchange.established_at(self.name) or self._waiting:
            self._side.exchange.after_ms(REDIAL_MS, self._redial)

    def _redial(self) -> None:
        if self._exchange.established_at(self.name) or self._waiting:
            self.dial()

    def _lost(self, reason: str) -> None:
        """The server is dead, cut off, or not the one that it was."""
        self._waiting = [outbound for outbound in self._waiting if isinstance(outbound, OutboundSetUp)]
        self._byes.clear()
        self._exchange.handle_server_loss(self.name, self._side.clock.now_ms() + 1, reason)
        self._dead = True
        self._links.close_all(reason)
        self._dead = False

    def finish(self) -> None:
        """Calls here belong to no connection, and outlive this process."""

    def close(self) -> None:
        """Close all connections of a server that is gone."""
        for link in self._links:
            link.connection.finish()

    def link_closed(self, link: Link, reason: str, unsent: list[OutboundMessage]) -> None:
        """A connection is over: so are the set-ups on it, but not the calls that stand."""
        self._links.remove(link)
        if reason != "done":
            # How many set-ups it took along, whether the server ever spoke on it and how old it was: a
            # server that closes new connections at once shows as many short, silent ones.
            spoke, age_ms = link.heard_ms > link.opened_ms, round(self.now_ms - link.opened_ms)
            log_event(
                logging.INFO, "server_closed", server=self.name, reason=reason, open=len(link.open),
                spoke=spoke, age_ms=age_ms,
            )  # fmt: skip
        if link.open:
            self._hand_shakes.broke(self.now_ms)
        for set_up in list(link.open.values()):
            self._failed(set_up, AttemptError(set_up.progress, reason, line_only=not self._dead))
        again = self._byes.unexpired(self.now_ms)
        if self._links:
            for outbound in again:
                self._send(outbound)
            if self._exchange.established_at(self.name) and not self._dead:
                # Guards against a release that was written to the connection that ended: the server sends it
                # again on the next one that is opened.
                pause_ms = self._hand_shakes.after_close(self.now_ms)
                if pause_ms is not None:
                    self._side.exchange.after_ms(pause_ms, self._dial_after_close)
            return
        self._waiting += [outbound for outbound in again if outbound not in self._waiting]
        if self._exchange.established_at(self.name) or self._waiting:
            if not self.is_ready and self._side.address_taken(self):
                # Guards against taking the process that now has this address for the one that had the calls.
                self._lost("replaced")
            else:
                self.dial()

    def _dial_after_close(self) -> None:
        if self._exchange.established_at(self.name):
            self._dial_another()

    def watch(self) -> None:
        """Called now and then: has a server that owes something fallen silent?"""
        self._links.watch(self.now_ms)
        if not self._owing:
            return
        is_gone = self.server.entry.state is PoolState.GONE
        if is_gone or (not self.is_ready and self._side.address_taken(self)):
            # Guards against taking the process that now has this address, and talks, for the one that had the
            # calls: only a connection from before them can still be the old one's.
            self._exchange.handle_server_loss(
                self.name, self._links.oldest_ms(), "gone" if is_gone else "replaced"
            )
        if is_gone and self.now_ms - self._links.heard_ms() >= QUIET_MS:
            self._lost("gone")
        elif not is_gone and self._liveness.is_quiet(self.now_ms):
            # Guards against a machine that vanished: its connections stay open and say nothing, and only a
            # new one, which never comes up, tells it from one whose processor hangs.
            self._links.spare_one()
            self.dial()

    # --- messages -------------------------------------------------------------------------------------------
    def malformed(self, message: Malformed) -> None:
        """Something came that is no SIP."""
        self._side.counters.add("malformed_from_servers")
        why = {"reason": message.reason, "closed": message.fatal}
        log_event(logging.WARNING, "server_malformed", server=self.name, **why)

    def message(self, link: Link, message: sip.Request | sip.Response) -> None:
        """Take one message."""
        link.heard(self.now_ms)
        self._liveness.heard(link.heard_ms)
        call = sip.call_of(message)
        if "x-circuits" in message.headers:
            self._report(message.headers["x-circuits"])
        if isinstance(message, sip.Request) and message.method == "OPTIONS":
            link.send(OutboundMessage(sip.encode_response(message, 200, "OK")))
        elif isinstance(message, sip.Request) and message.method == "NOTIFY":
            pass  # all that it tells is in its X-Circuits, and it wants no answer
        elif call is None:
            log_event(logging.WARNING, "server_no_call", server=self.name)
        elif isinstance(message, sip.Response):
            self._response(link, call, message)
        elif message.method == "BYE":
            link.send(OutboundMessage(sip.encode_response(message, 200, "OK")))
            cause = sip.reason_cause(message)
            self._released(call, CAUSE_NORMAL if cause is None else cause)
        elif message.method != "ACK":
            log_event(
                logging.WARNING, "server_unknown_method", server=self.name, method=message.method, call=call
            )

    def _report(self, figures: str) -> None:
        """Guards against a gate that learns only from refusals how few lines are free."""
        try:
            report = read_report(figures)
        except ValueError:
            self.malformed(Malformed(f"X-Circuits {figures[:60]!r}", fatal=False))
        else:
            self._exchange.handle_server_report(self.name, report)

    def _released(self, call: str, cause: int) -> None:
        outbound = self._set_ups.get(call)
        if outbound is not None:
            self._failed(outbound, AttemptError(Progress.ANSWERED, "released", Ending.RESET))
        else:
            self._exchange.handle_server_release(self.name, call, cause)

    def _response(self, link: Link, call: str, response: sip.Response) -> None:
        if response.method == "BYE":
            self._byes.pop(call)
        if response.method != "INVITE" or response.status < 200:
            return
        outbound = self._set_ups.get(call)
        if outbound is not None and outbound.link is not link:
            # Guards against what comes late of an attempt before this one.
            log_event(logging.INFO, "server_late_answer", server=self.name, call=call, status=response.status)
            return
        if outbound is not None:
            number, sequence = outbound.set_up.request.number, sequence_of(outbound.set_up)
        elif (given_up := self._given_up.pop(call)) is not None:
            number, sequence = given_up
        elif self._exchange.has_call(call) or self._exchange.is_recently_ended(call):
            number, sequence = "unknown", 1
        else:
            # Guards against an answer under an id that nobody sent.
            self._side.counters.add("unknown_from_servers")
            log_event(
                logging.WARNING, "server_unknown_call", server=self.name, call=call, status=response.status
            )
            return
        link.send(OutboundMessage(requests.ack(call, number, sequence)))
        if response.status >= 300:
            if outbound is not None:
                self._failed(outbound, refusal(response.status, response.headers.get("x-why", "")))
            return
        if outbound is not None:
            del self._set_ups[call]
            link.open.pop(call, None)
            outbound.progress = Progress.ANSWERED
            if self._exchange.handle_answer(call, outbound.set_up.attempt, response.body):
                return
        if not self._exchange.is_established_at(self.name, call):
            # Guards against an answer that crossed a CANCEL: without a BYE the call would stand for nobody.
            self.release(call, number, CAUSE_NORMAL)

    def _failed(self, outbound: OutboundSetUp, error: AttemptError) -> None:
        if self._set_ups.get(outbound.call) is outbound:
            del self._set_ups[outbound.call]
            if outbound.link is not None:
                outbound.link.open.pop(outbound.call, None)
            self._exchange.attempt_ended(outbound.call, outbound.set_up.attempt, error)
