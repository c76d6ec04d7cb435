"""One caller's connection: its unanswered set-ups, its unconfirmed releases, and when it may be closed."""

from __future__ import annotations

import logging
import math
from collections import OrderedDict, deque
from typing import TYPE_CHECKING

from gevent import socket

from pearloom.binary import isup
from pearloom.binary.isup import Cause, Code, Message, Type
from pearloom.core.calls import Media
from pearloom.core.connection import Connection, OutboundMessage
from pearloom.core.errors import Malformed
from pearloom.core.exchange import Exchange
from pearloom.core.logs import log_event
from pearloom.core.message_reader import MessageReader
from pearloom.core.token_bucket import TokenBucket

if TYPE_CHECKING:
    from pearloom.binary.callers import Callers

READ_BYTES = 8 * 1024  # per read of one connection
MAX_UNANSWERED = 256  # set-ups on one connection, those withdrawn a moment ago included
WITHDRAWN_COUNTS_MS = 1000.0  # for which a withdrawn set-up counts as unanswered
UNKNOWN_RELEASES_PER_S = 50.0  # of calls that are not known here, on one connection
UNKNOWN_RELEASES_BURST = 500.0
MESSAGE_TIMEOUT_MS = 2500.0  # for the first message, and the rest of a partial one; some callers take 2 s
STALLED_MESSAGE_MS = 700.0  # without a byte of a partial message, after which its connection may be evicted
NEW_CONNECTION_MS = 300.0  # age up to which a connection without a message is the last to be evicted
UNUSED_TIMEOUT_MS = 5000.0  # without a message, after which a connection that never had a set-up is closed
RELEASE_RESEND_MS = 5000.0  # a release is sent again if its connection ends unconfirmed within this time
EMPTYING_NEW_MS = 1000.0  # while emptying: age up to which a connection without a message is kept
EMPTYING_PARTIAL_MS = 2800.0  # of emptying; no caller may still be sending a message after it


class _OutboundAnswer(OutboundMessage):
    """The answer to a set-up: the call is established."""

    __slots__ = ()


class CallerConnection:
    """One connection from a caller."""

    def __init__(self, callers: Callers, sock: socket.socket, now_ms: float) -> None:
        """Take an accepted connection."""
        self._callers = callers
        self._reader = MessageReader(isup.Decoder(), callers.now_ms)
        self._has_peer_eof = False
        self._opened_ms = now_ms
        self.last_message_ms = now_ms  # the connection's start until the first whole message
        self.has_received_message = False
        self._last_byte_ms = math.inf
        self.unanswered: set[str] = set()  # calls whose set-ups are to be answered on this connection
        self._withdrawn_ms: deque[float] = deque()  # when set-ups were withdrawn, the oldest first
        self._unknown_releases = TokenBucket(UNKNOWN_RELEASES_PER_S, UNKNOWN_RELEASES_BURST, now_ms)
        self.unconfirmed: OrderedDict[str, tuple[int, float]] = OrderedDict()  # releases: cause, time sent
        self.connection = Connection(
            sock,
            self._on_data,
            self._on_peer_eof,
            self._on_closed,
            callers.exchange.queue_budget,
            callers.turns,
            READ_BYTES,
        )

    @property
    def is_connected(self) -> bool:
        """Is the caller's side of the connection open?"""
        return not self.connection.peer_ended

    def send_answer(self, call: str, description: bytes) -> None:
        """Answer the set-up with the server's description."""
        self.unanswered.discard(call)
        message = Message(Type.ANSWER, call, {Code.DESCRIPTION: description})
        self._send(_OutboundAnswer(isup.encode(message), call))

    def send_refusal(self, call: str, stay_away_ms: float) -> None:
        """Refuse the set-up; `stay_away_ms` above 0 asks the caller to wait before it tries again."""
        self.unanswered.discard(call)
        parameters = {int(Code.CAUSE): bytes([Cause.CONGESTION])}
        if stay_away_ms > 0:
            parameters[Code.STAY_AWAY_MS] = str(round(stay_away_ms)).encode("ascii")
        self._send(OutboundMessage(isup.encode(Message(Type.RELEASE, call, parameters)), call))

    def send_failure(self, call: str) -> None:
        """Fail the set-up."""
        self.unanswered.discard(call)
        self._send_release(call, Cause.TEMPORARY_FAILURE)

    def send_media(self, call: str, media: Media) -> None:
        """Drop the media: this protocol is for signalling; media go to the address in the description."""
        self._callers.counters.add("media_dropped")

    def release(self, call: str, cause: int, since_ms: float) -> None:
        """Release an established call; `since_ms`: when its release was first sent, on any connection."""
        self.unconfirmed[call] = (cause, since_ms)
        while next(iter(self.unconfirmed.values()))[1] < since_ms - RELEASE_RESEND_MS:
            self.unconfirmed.popitem(last=False)
        self._send_release(call, cause)

    @property
    def is_busy(self) -> bool:
        """Is a set-up unanswered or partly read, or are there bytes left to read or write?"""
        return bool(self.unanswered) or self._reader.has_partial_message or self.connection.is_busy

    def close_reason(self, now_ms: float) -> str:
        """Why this connection is to be closed, or an empty string.

        Guards against silent callers that use up the descriptors. Callers themselves close connections that
        carry no call after 4 s; one with an unanswered set-up, or with bytes still to be read, stays open."""
        if self.unanswered or self._has_peer_eof:
            return ""
        if (
            now_ms - (self._reader.partial_since_ms if self.has_received_message else self._opened_ms)
            > MESSAGE_TIMEOUT_MS
            and self._reader.has_partial_message
        ):
            return "no whole message"
        silent_ms = now_ms - self.last_message_ms
        if silent_ms > (
            UNUSED_TIMEOUT_MS if self.has_received_message else MESSAGE_TIMEOUT_MS
        ) and not self._callers.is_release_target(self):
            return "" if self.connection.is_busy else "unused"
        return ""

    def eviction_rank(self, now_ms: float) -> tuple[int, float] | None:
        """The order in which connections are closed to make room, the lowest first; None: never.

        Guards against closing the slow instead of the silent: a caller that takes seconds to write its set-up
        keeps its connection while there is any that sent a test, says nothing, or carries no set-up."""
        if self.unanswered or self._has_peer_eof:
            return None
        if self._reader.has_partial_message:
            return (3, self._last_byte_ms) if now_ms - self._last_byte_ms > STALLED_MESSAGE_MS else None
        if self._callers.is_release_target(self):
            return 2, self.last_message_ms
        if self.has_received_message:
            return 0, self.last_message_ms
        return (1 if now_ms - self._opened_ms > NEW_CONNECTION_MS else 4), self._opened_ms

    def close_if_idle(self, now_ms: float, emptying_ms: float) -> None:
        """Close this connection unless something is in progress on it; `emptying_ms`: since emptying began.

        Guards against losing a set-up that has arrived, whole or in part: its connection stays until it is
        answered, and a new connection has time for its first message."""
        is_new = not self.has_received_message and now_ms - self._opened_ms < EMPTYING_NEW_MS
        is_late = emptying_ms > EMPTYING_PARTIAL_MS
        if (
            self.unanswered
            or (not is_late and (is_new or self._reader.has_partial_message))
            or self.connection.is_busy
        ):
            return
        self._callers.counters.add("caller_connections_emptied")
        self.connection.close("emptied")

    def _send_release(self, call: str, cause: int) -> None:
        message = Message(Type.RELEASE, call, {Code.CAUSE: bytes([cause])})
        self._send(OutboundMessage(isup.encode(message), call))

    def _send(self, outbound: OutboundMessage) -> None:
        if self.connection.closed:
            self._on_undelivered(outbound)
            return
        self.connection.send(outbound)
        if self._has_peer_eof and not self.unanswered:
            self.connection.finish()

    def _on_undelivered(self, outbound: OutboundMessage) -> None:
        """Guards against a call that stays established at a server although its caller got no answer."""
        if isinstance(outbound, _OutboundAnswer):
            self._callers.exchange.handle_caller_release(outbound.call, Cause.TEMPORARY_FAILURE)

    def _on_data(self, data: bytes) -> None:
        self._last_byte_ms = self._callers.now_ms()
        for message in self._reader.messages(data, self.connection):
            self.last_message_ms, self.has_received_message = self._callers.now_ms(), True
            if not isinstance(message, Malformed):
                self._on_message(message)
            elif message.fatal:
                self._on_malformed(message)
                self._fail_and_close()
            elif not self._on_malformed(message).has_call(message.call):
                # Guards against a caller that waits in vain for the answer to a malformed set-up.
                self._send_release(message.call, Cause.INVALID_SET_UP)

    def _on_malformed(self, message: Malformed) -> Exchange:
        self._callers.counters.add("malformed_from_callers")
        log_event(
            logging.WARNING,
            "caller_malformed",
            reason=message.reason,
            call=message.call,
            closed=message.fatal,
        )
        return self._callers.exchange

    def _fail_and_close(self) -> None:
        """Fail all unanswered set-ups and close: the rest of the stream can't be decoded."""
        for call in list(self.unanswered):
            self._callers.exchange.abort_set_up(call)
            self.send_failure(call)
        self.connection.finish()

    def _on_message(self, message: Message) -> None:
        match message.type:
            case Type.SET_UP:
                self._on_set_up(message)
            case Type.RELEASE:
                self._callers.add_release_target(self)
                cause = message.cause
                self._on_release(message.call, Cause.NORMAL if cause is None else cause)
                self._send(OutboundMessage(isup.encode(Message(Type.RELEASE_COMPLETE, message.call))))
            case Type.RELEASE_COMPLETE:
                self._callers.add_release_target(self)
                self._callers.counters.add("releases_heard")
                self.unconfirmed.pop(message.call, None)
            case Type.TEST:
                cause = 1 if self._callers.is_in_service else 0
                reply = Message(Type.TEST_REPLY, message.call, {Code.CAUSE: bytes([cause])})
                self._send(OutboundMessage(isup.encode(reply)))
            case Type.PROGRESS | Type.GROUP_STATE | Type.TEST_REPLY:
                pass
            case _:
                self._callers.counters.add("malformed_from_callers")
                log_event(logging.WARNING, "caller_unknown_type", type=message.type, call=message.call)
                if not self._callers.exchange.has_call(message.call):
                    self._send_release(message.call, Cause.UNKNOWN_TYPE)

    def _on_release(self, call: str, cause: int) -> None:
        now = self._callers.now_ms()
        if call in self.unanswered:
            self.unanswered.discard(call)
            self._withdrawn_ms.append(now)
        if not self._callers.exchange.knows(call) and not self._unknown_releases.take(now):
            self._callers.counters.add("unknown_releases_dropped")
            return
        self._callers.exchange.handle_caller_release(call, cause)

    @property
    def _has_room(self) -> bool:
        """May another set-up be handled?

        Guards against one connection that uses up what all callers share, also with set-ups that it withdraws
        at once: each of them is work at a server."""
        oldest_ms = self._callers.now_ms() - WITHDRAWN_COUNTS_MS
        while self._withdrawn_ms and self._withdrawn_ms[0] < oldest_ms:
            self._withdrawn_ms.popleft()
        return len(self.unanswered) + len(self._withdrawn_ms) < MAX_UNANSWERED

    def _on_set_up(self, message: Message) -> None:
        exchange = self._callers.exchange
        if exchange.admission.runs_elsewhere(message.call):
            # Guards against a second attempt at a set-up that is, or was, at the other process of an upgrade.
            self._callers.counters.add("open_elsewhere")
            self.send_refusal(message.call, exchange.stay_away_ms)
            return
        if exchange.knows(message.call):
            # Guards against an answer or a release that could be taken for that of another set-up.
            self._callers.counters.add("bad_set_ups")
            log_event(logging.WARNING, "caller_duplicate", call=message.call)
            if message.call in self.unanswered:
                # Two set-ups under one id can't be told apart in answers, so both fail.
                exchange.abort_set_up(message.call)
                self.unanswered.discard(message.call)
            self._send_release(message.call, Cause.INVALID_SET_UP)
            return
        request = self._callers.read_offer(message)
        if request is None:
            log_event(logging.WARNING, "caller_bad_set_up", call=message.call)
            self._callers.counters.add("bad_set_ups")
            self._send_release(message.call, Cause.INVALID_SET_UP)
            return
        self._callers.add_release_target(self)
        if not self._has_room or self._callers.is_refusing:
            # Guards against a connection that always has an unanswered set-up and so would outlast a drain.
            exchange.refuse_set_up(request, self)
            return
        self.unanswered.add(message.call)
        exchange.handle_set_up(request, self)

    def _on_peer_eof(self) -> None:
        # Set-ups of a caller that closed only its sending half are still answered.
        self._has_peer_eof = True
        for call in list(self.unanswered):
            self._callers.exchange.handle_caller_eof(call)
        if not self.unanswered:
            self.connection.finish()

    def _on_closed(self, reason: str, unsent: list[OutboundMessage]) -> None:
        if self.unanswered or unsent:
            log_event(
                logging.INFO, "caller_closed", reason=reason, open=len(self.unanswered), unsent=len(unsent)
            )
        self._callers.remove(self)
        for call in list(self.unanswered):
            self._callers.exchange.handle_caller_release(call, Cause.NORMAL)
        self.unanswered.clear()
        for outbound in unsent:
            self._on_undelivered(outbound)
        self._callers.resend_releases(self.unconfirmed)
