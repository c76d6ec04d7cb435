"""One session server over SIP: its set-ups, releases and connections, and when it is considered lost."""

from __future__ import annotations

import logging

from gevent import socket

from pearloom.core.calls import Media, SetUpAttempt
from pearloom.core.config import Address, Server
from pearloom.core.connection import OutboundMessage
from pearloom.core.errors import AttemptError, Malformed, Progress
from pearloom.core.exchange import CAUSE_NORMAL
from pearloom.core.logs import log_event
from pearloom.core.queue_budget import QueueBudget
from pearloom.core.recent import RecentValues
from pearloom.core.turns import TurnQueue
from pearloom.interface import PoolState
from pearloom.servers.directory import Directory
from pearloom.sip import codec as sip
from pearloom.sip import requests
from pearloom.sip.connecting import DialFailure, DialFailureKind
from pearloom.sip.dialler import Dialler
from pearloom.sip.dialling import DialPolicy
from pearloom.sip.invites import InviteTransactions
from pearloom.sip.link import Link, OutboundSetUp
from pearloom.sip.links import Links
from pearloom.sip.liveness import SILENT_MS
from pearloom.sip.server_loss import ServerLoss

MUTE_FROM_MS = 100.0  # a set-up given up after this time with no message since makes its connection mute
BYE_RESEND_MS = 5000.0  # a BYE is sent again if its connection ends unanswered within this time


class SipTrunk:
    """This softswitch's calls and connections at one session server over SIP."""

    def __init__(
        self,
        directory: Directory,
        server: Server,
        dial_timeout_ms: float,
        idle_ms: float,
        handshake_price: float,
    ) -> None:
        """Start without connections. `idle_ms`: after which the server closes an idle connection."""
        self._dial_policy = DialPolicy(handshake_price)
        self._directory = directory
        self._exchange = directory.exchange
        self._dialler = Dialler(self, directory, dial_timeout_ms)
        self.name = server.entry.server
        self.server = server
        self._links = Links(idle_ms)
        self._loss = ServerLoss(directory, self.name, self._links)
        self.contact_tracker = self._liveness = self._loss.liveness
        self._waiting: list[OutboundMessage] = []
        self._invites = InviteTransactions(directory, self.name, self.release)
        self._byes = RecentValues[OutboundMessage](BYE_RESEND_MS)

    @property
    def is_ready(self) -> bool:
        """May the server get new set-ups?"""
        return self.server.entry.state is PoolState.READY

    @property
    def dialling(self) -> bool:
        """Is a connection being opened?"""
        return self._dialler.is_dialling

    @property
    def address(self) -> Address:
        """The server's address, as it is listed now."""
        return self.server.address

    @property
    def needs_connection(self) -> bool:
        """Do established calls, or messages that wait, need a connection?"""
        return self._exchange.established_at(self.name) > 0 or bool(self._waiting)

    @property
    def _expects_message(self) -> bool:
        """Is an answer or a release due from the server?"""
        return bool(self._invites) or self._exchange.established_at(self.name) > 0

    @property
    def is_idle(self) -> bool:
        """Is the server gone, with nothing left to do for it?"""
        is_busy = self._expects_message or self.dialling or self._waiting
        return self.server.entry.state is PoolState.GONE and not is_busy

    @property
    def connections(self) -> int:
        """The number of connections, open or being opened."""
        return len(self._links) + self.dialling

    @property
    def queue_budget(self) -> QueueBudget:
        """The bound of what all connections have queued."""
        return self._exchange.queue_budget

    @property
    def turns(self) -> TurnQueue:
        """The turns of work of all connections to session servers."""
        return self._directory.turns

    @property
    def now_ms(self) -> float:
        """The time of the exchange's clock."""
        return self._directory.clock.now_ms()

    def set_up(self, set_up: SetUpAttempt) -> None:
        """Send an INVITE."""
        invite = OutboundSetUp(requests.invite(set_up), set_up, self._wanted, self._exchange.count_forwarded)
        if not self._expects_message:
            self._liveness.expect_message(self.now_ms)
        self._invites.add(invite)
        self._send(invite)

    def _wanted(self, outbound: OutboundSetUp) -> bool:
        """Called before the first byte is sent: is the connection open, and the attempt still wanted?"""
        link = outbound.link
        if link is not None and link.connection.peer_ended:
            # Guards against an uncertain attempt: its INVITE would cross a close that is not read yet.
            link.has_ended = outbound.withdrawn = True
            self._invites.end(
                outbound, AttemptError(Progress.CONNECTING, "closed by server", is_connection_fault=True)
            )
            return False
        return self._exchange.may_send(outbound.call, outbound.set_up.attempt)

    def give_up(self, call: str) -> Progress:
        """End an attempt: withdraw its INVITE, or send a CANCEL if any byte of it was sent."""
        outbound = self._invites.take(call)
        if outbound is None:
            return Progress.NOT_DIALLED
        if outbound.progress < Progress.PARTLY_SENT:
            outbound.withdrawn = True
        elif outbound.link is not None:
            self._directory.counters.add("cancels_out")
            now = self.now_ms
            outbound.link.send(OutboundMessage(requests.cancel(outbound.set_up)))
            if outbound.link.last_message_ms <= outbound.sent_ms < now - MUTE_FROM_MS:
                self._dial_policy.record_break(now)
                if not outbound.link.is_mute:
                    outbound.link.mute_since_ms = now
                    self._dial_for_releases()
        self._invites.record_ended(outbound)
        return outbound.progress

    def withdraw_unsent(self) -> None:
        """End attempts of which no byte has been sent."""
        for outbound in [item for item in self._invites if item.progress < Progress.PARTLY_SENT]:
            outbound.withdrawn = True
            self._invites.end(outbound, AttemptError(Progress.NOT_DIALLED, "server not ready"))

    def release(self, call: str, number: str, cause: int) -> None:
        """Send a BYE."""
        self._directory.counters.add("byes_out")
        self._links.discard_call(call)
        outbound = OutboundMessage(requests.bye(call, number, cause), call)
        self._byes.put(call, outbound, self.now_ms)
        self._send(outbound)

    def update(self, server: Server) -> None:
        """Apply the server's new entry in the pool list."""
        previous, self.server = self.server, server
        if server.entry.started_us > previous.entry.started_us:
            self._loss.end_restarted(server.entry.started_us / 1000.0)
        if server.entry.state is PoolState.GONE:
            self.watch()

    def _send(self, outbound: OutboundMessage) -> None:
        """Queue a message at a connection, or keep it until one is established."""
        best = self._links.least_used()
        if best is None or self._dial_policy.should_dial(len(best.unanswered), self.now_ms):
            self._dial_another()
        if best is None and not isinstance(outbound, OutboundSetUp):
            best = self._links.newest()
        if best is None:
            self._waiting.append(outbound)
            return
        if isinstance(outbound, OutboundSetUp):
            outbound.link, outbound.sent_ms = best, self.now_ms
            best.unanswered[outbound.call] = outbound
        best.send(outbound)

    def _dial_another(self) -> None:
        may_open = not self._links or self._directory.may_open_another
        if may_open and self._links.make_room():
            self.dial()

    def send_media(self, call: str, media: Media) -> None:
        """Drop the media: a trunk carries signalling only; media go to the address in the description."""
        self._directory.counters.add("media_dropped")

    def dial(self) -> None:
        """Open a connection, unless one is being opened; waiting messages are sent on it."""
        self._dialler.dial()

    def on_dial_begun(self) -> None:
        """Count the messages that wait for a connection as being dialled for."""
        for outbound in self._waiting:
            outbound.progress = Progress.CONNECTING

    def on_connected(self, sock: socket.socket) -> None:
        """Send what waits on an established connection; raises OSError if it is broken already."""
        link = Link(self, sock, self.now_ms)
        self._loss.record_connected(link.opened_ms)
        self._links.add(link)
        link.connection.start()
        waiting, self._waiting = self._waiting, []
        for outbound in waiting:
            if not outbound.withdrawn:
                self._send(outbound)

    def on_dial_failed(self, failure: DialFailure) -> None:
        """End the set-ups that waited, and decide what the failure shows of the server."""
        is_refused = failure.kind is DialFailureKind.REFUSED
        log_event(logging.INFO, "dial_failed", server=self.name, refused=is_refused, reason=failure.reason)
        waiting, self._waiting = self._waiting, []
        for outbound in waiting:
            if isinstance(outbound, OutboundSetUp):
                if not outbound.withdrawn:
                    self._invites.end(outbound, AttemptError(Progress.CONNECTING, failure.reason))
            else:
                self._waiting.append(outbound)
        lost_reason = self._loss.record_failed_dial(failure.kind)
        if lost_reason is not None:
            self._on_lost(lost_reason)
        elif self.is_ready or not (is_refused and self._links):
            # A draining server that refuses connections is dialled again by `watch` alone.
            self._dialler.dial_later()

    def _on_lost(self, reason: str) -> None:
        """The server is dead, cut off, or replaced: release its calls and close its connections."""
        self._waiting = [outbound for outbound in self._waiting if isinstance(outbound, OutboundSetUp)]
        self._byes.clear()
        self._loss.end_all(reason)

    def finish(self) -> None:
        """Do nothing: SIP calls belong to no connection and outlive this process."""

    def close(self) -> None:
        """Close all connections of a server that is gone."""
        for link in self._links:
            link.connection.finish()

    def on_link_closed(self, link: Link, reason: str, unsent: list[OutboundMessage]) -> None:
        """A connection has ended, and with it its unanswered set-ups, but no established call."""
        self._links.remove(link)
        self._loss.record_connection_end(link, reason)
        if reason != "done":
            link.log_closed(self.name, reason, self.now_ms)
        if link.unanswered:
            self._dial_policy.record_break(self.now_ms)
        for set_up in list(link.unanswered.values()):
            self._invites.end(
                set_up, AttemptError(set_up.progress, reason, is_connection_fault=not self._loss.is_ending)
            )
        resent = self._byes.unexpired(self.now_ms)
        if self._links:
            for outbound in resent:
                self._send(outbound)
            self._dial_for_releases()
            return
        self._waiting += [outbound for outbound in resent if outbound not in self._waiting]
        if self.needs_connection:
            if not self.is_ready and self._directory.successor_of(self) is not None:
                # The process that now has this address is not the one that had the calls.
                self._hand_over_calls()
                self._on_lost("replaced")
            else:
                self.dial()

    def _dial_for_releases(self) -> None:
        """Open another connection after one ended or fell mute.

        Guards against a release that is lost with that connection: the server repeats it on the next one."""
        if self._exchange.established_at(self.name) and not self._loss.is_ending:
            delay_ms = self._dial_policy.delay_after_close_ms(self.now_ms)
            if delay_ms is not None:
                self._directory.exchange.after_ms(delay_ms, self._dial_after_close)

    def _dial_after_close(self) -> None:
        if self._exchange.established_at(self.name):
            self._dial_another()

    def watch(self) -> None:
        """Check whether the server has fallen silent while a message is due; runs periodically."""
        self._links.watch(self.now_ms)
        self._loss.end_unconfirmed()
        if not self._expects_message:
            return
        self._hand_over_calls()
        is_gone = self.server.entry.state is PoolState.GONE
        if is_gone or (not self.is_ready and self._directory.successor_of(self) is not None):
            # Guards against mistaking the process that now has this address, and sends messages, for the one
            # that had the calls: only a connection opened before a call can still be the old process's.
            self._exchange.handle_server_loss(
                self.name, self._links.oldest_ms(), "gone" if is_gone else "replaced"
            )
        if is_gone and self.now_ms - self._links.last_message_ms() >= SILENT_MS:
            self._on_lost("gone")
        elif not is_gone and (self._liveness.is_dial_due(self.now_ms) or self._has_silent_link()):
            # Hung and vanished machines leave connections open; only a vanished one accepts no new one.
            self._links.close_spare()
            self.dial()

    def _has_silent_link(self) -> bool:
        """May releases be lost on a connection, however much comes on the others?"""
        established = self._exchange.established.at(self.name)
        self._links.forget_ended_calls(established)
        return self._links.should_replace_silent(self.now_ms, established)

    def _hand_over_calls(self) -> None:
        """Give the calls of the process that now has this address to the server that it is listed as.

        Guards against calls that end as those of the process before, which had this server's id: until the
        list tells, set-ups for that id reach the new process."""
        successor = None if self.is_ready else self._directory.successor_of(self)
        if successor is not None and successor.entry.started_us > 0:
            started_ms = successor.entry.started_us / 1000.0
            self._exchange.move_established(self.name, successor.entry.server, started_ms)

    def on_link_mute(self, link: Link) -> None:
        """Close a connection that left a set-up unanswered, unless it is needed to tell whether calls stand.

        Guards against cutting the calls of a server that was cut off: its old connections speak again."""
        has_other = self._links.least_used() is not None
        if not self._exchange.established_at(self.name) or (has_other and not self._liveness.is_in_doubt):
            link.connection.close("mute")
        elif not has_other:
            self.dial()

    def on_malformed(self, message: Malformed) -> None:
        """Log and count bytes from the server that are not valid SIP."""
        self._directory.record_malformed(self.name, message.reason, closed=message.fatal)

    def on_message(self, link: Link, message: sip.Request | sip.Response) -> None:
        """Handle one message of the server."""
        link.record_message(self.now_ms)
        self._liveness.record_message(link.last_message_ms, link.opened_ms)
        call = sip.call_of(message)
        if "x-circuits" in message.headers:
            self._directory.handle_report(self.name, "X-Circuits", message.headers["x-circuits"])
        if isinstance(message, sip.Request) and message.method == "OPTIONS":
            link.send(OutboundMessage(sip.encode_response(message, 200, "OK")))
        elif isinstance(message, sip.Request) and message.method == "NOTIFY":
            pass  # its only content is X-Circuits, and it needs no response
        elif call is None:
            log_event(logging.WARNING, "server_no_call", server=self.name)
        elif isinstance(message, sip.Response):
            if message.method == "BYE":
                self._byes.pop(call)
            elif message.method == "INVITE" and message.status >= 200:
                self._invites.handle_response(link, call, message)
        elif message.method == "BYE":
            link.send(OutboundMessage(sip.encode_response(message, 200, "OK")))
            cause = sip.reason_cause(message)
            self._on_released(call, CAUSE_NORMAL if cause is None else cause)
        elif message.method != "ACK":
            log_event(
                logging.WARNING, "server_unknown_method", server=self.name, method=message.method, call=call
            )

    def _on_released(self, call: str, cause: int) -> None:
        self._links.discard_call(call)
        if not self._invites.handle_release(call):
            self._loss.confirm_by_call(call)
            self._exchange.handle_server_release(self.name, call, cause)
