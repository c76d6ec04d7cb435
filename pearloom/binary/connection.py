"""One caller: its connection, what is open on it, and when it may go."""

from __future__ import annotations

import logging
import math
from collections import OrderedDict
from typing import TYPE_CHECKING

from gevent import socket

from pearloom.binary import isup
from pearloom.binary.isup import Cause, Code, Message, Type
from pearloom.core.calls import Media
from pearloom.core.connection import Connection, OutboundMessage
from pearloom.core.errors import Malformed
from pearloom.core.exchange import Exchange
from pearloom.core.logs import log_event

if TYPE_CHECKING:
    from pearloom.binary.callers import Callers

READ_BYTES = 8 * 1024  # from one caller a turn: at most some hundred set-ups, 20 ms of work
MOST_OPEN_EACH = 256  # set-ups that one connection may have open
SILENT_MS = 2500.0  # in which a connection, or a message that has begun, owes a whole message; some take 2 s
STALLED_MS = 700.0  # half a message on which nothing has come for so long may make room for others
NEWCOMER_MS = 300.0  # so long a new connection that says nothing goes only where nothing else can
UNUSED_MS = 5000.0  # a connection that never brought a set-up is closed after so long without a message
UNHEARD_MS = 5000.0  # a release whose connection ends within this time, unconfirmed, is sent again
FRESH_MS = 1000.0  # when emptied: how long a new connection that has said nothing is kept
EMPTY_INSIDE_MS = 2800.0  # and later nobody may still be sending one


class _OutboundAnswer(OutboundMessage):
    """An answer that says that a call stands."""

    __slots__ = ()


class CallerConnection:
    """One connection from a caller."""

    def __init__(self, side: Callers, sock: socket.socket, now_ms: float) -> None:
        """Take an accepted connection."""
        self._side = side
        self._decoder = isup.Decoder()
        self._peer_ended = False
        self._opened_ms = now_ms
        self.heard_ms = now_ms  # when the last whole message came
        self.spoke = False  # has any come?
        self._byte_ms = math.inf  # when the last byte came
        self._inside_ms = math.inf  # since when one has begun and is not whole
        self.open: set[str] = set()  # set-ups that are owed an answer on this connection
        self.unheard: OrderedDict[str, tuple[int, float]] = OrderedDict()  # releases sent: cause, when
        self.connection = Connection(sock, self._data, self._ended, self._closed, READ_BYTES)

    # --- exchange.Caller
    @property
    def is_connected(self) -> bool:
        """Is the caller's side of the connection open?"""
        return not self.connection.peer_ended

    def send_answer(self, call: str, description: bytes) -> None:
        """Pass the answer on."""
        self.open.discard(call)
        message = Message(Type.ANSWER, call, {Code.DESCRIPTION: description})
        self._send(_OutboundAnswer(isup.encode(message), call))

    def send_refusal(self, call: str, stay_away_ms: float) -> None:
        """Turn the set-up away."""
        self.open.discard(call)
        parameters = {int(Code.CAUSE): bytes([Cause.CONGESTION])}
        if stay_away_ms > 0:
            parameters[Code.STAY_AWAY_MS] = str(round(stay_away_ms)).encode("ascii")
        self._send(OutboundMessage(isup.encode(Message(Type.RELEASE, call, parameters)), call))

    def send_failure(self, call: str) -> None:
        """Say that the set-up failed."""
        self.open.discard(call)
        self._send_release(call, Cause.TEMPORARY_FAILURE)

    def send_media(self, call: str, media: Media) -> None:
        """Signalling alone goes here: what is said in a call reaches the caller as its description says."""
        self._side.counters.add("media_dropped")

    # --- the rest
    def release(self, call: str, cause: int, since_ms: float) -> None:
        """A call that stood is over, and its caller has been told since then, if not on this connection."""
        self.unheard[call] = (cause, since_ms)
        while next(iter(self.unheard.values()))[1] < since_ms - UNHEARD_MS:
            self.unheard.popitem(last=False)
        self._send_release(call, cause)

    @property
    def is_busy(self) -> bool:
        """Is a set-up open or half read, or anything left to read or write?"""
        return bool(self.open) or self._decoder.inside or self.connection.is_busy

    def idle_reason(self, now_ms: float) -> str:
        """Why this connection may be closed, or nothing.

        Guards against descriptors that silent callers use up. Callers close connections that carry no call
        themselves after 4 s; one with a set-up open, or with bytes that are still to be read, stays."""
        if self.open or self._peer_ended:
            return ""
        if now_ms - (self._inside_ms if self.spoke else self._opened_ms) > SILENT_MS and self._decoder.inside:
            return "no whole message"
        still = now_ms - self.heard_ms
        if still > (UNUSED_MS if self.spoke else SILENT_MS) and not self._side.is_talker(self):
            return "" if self.connection.is_busy else "unused"
        return ""

    def expendable(self, now_ms: float) -> tuple[int, float] | None:
        """How soon this connection is closed to make room for another, the least first; None: never.

        Guards against closing the slow instead of the silent: a caller that takes seconds to write its set-up
        stays for as long as any other has asked and stays, says nothing, or carries no set-up."""
        if self.open or self._peer_ended:
            return None
        if self._decoder.inside:
            return (3, self._byte_ms) if now_ms - self._byte_ms > STALLED_MS else None
        if self._side.is_talker(self):
            return 2, self.heard_ms
        if self.spoke:
            return 0, self.heard_ms
        return (1 if now_ms - self._opened_ms > NEWCOMER_MS else 4), self._opened_ms

    def retire(self, now_ms: float, emptied_ms: float) -> None:
        """Close this connection if nothing is under way on it; `emptied_ms`: for how long none is wanted.

        Guards against losing a set-up that has arrived or begun: such a connection stays until it is
        answered, and a new one has time to speak."""
        fresh = not self.spoke and now_ms - self._opened_ms < FRESH_MS
        late = emptied_ms > EMPTY_INSIDE_MS
        if self.open or (not late and (fresh or self._decoder.inside)) or self.connection.is_busy:
            return
        self._side.counters.add("caller_connections_emptied")
        self.connection.close("emptied")

    def _send_release(self, call: str, cause: int) -> None:
        message = Message(Type.RELEASE, call, {Code.CAUSE: bytes([cause])})
        self._send(OutboundMessage(isup.encode(message), call))

    def _send(self, outbound: OutboundMessage) -> None:
        if self.connection.closed:
            self._undelivered(outbound)
            return
        self.connection.send(outbound)
        if self._peer_ended and not self.open:
            self.connection.finish()

    def _undelivered(self, outbound: OutboundMessage) -> None:
        """Guards against a call that stands at a server while its caller never hears of it."""
        if isinstance(outbound, _OutboundAnswer):
            self._side.exchange.handle_caller_release(outbound.call, Cause.TEMPORARY_FAILURE)

    def _data(self, data: bytes) -> None:
        self._byte_ms = self._side.now_ms()
        for message in self._decoder.feed(data):
            self.heard_ms, self.spoke = self._side.now_ms(), True
            if not isinstance(message, Malformed):
                self._message(message)
            elif message.fatal:
                self._malformed(message)
                self._expel()
            elif not self._malformed(message).has_call(message.call):
                # Guards against a caller that waits for a word on what could not be read.
                self._send_release(message.call, Cause.INVALID_SET_UP)
        if not self._decoder.inside:
            self._inside_ms = math.inf
        elif self._inside_ms == math.inf:
            self._inside_ms = self._side.now_ms()

    def _malformed(self, message: Malformed) -> Exchange:
        self._side.counters.add("malformed_from_callers")
        log_event(
            logging.WARNING,
            "caller_malformed",
            reason=message.reason,
            call=message.call,
            closed=message.fatal,
        )
        return self._side.exchange

    def _expel(self) -> None:
        """Nothing more can be read here: answer what is open, then close."""
        for call in list(self.open):
            self._side.exchange.abort_set_up(call)
            self.send_failure(call)
        self.connection.finish()

    def _message(self, message: Message) -> None:
        match message.type:
            case Type.SET_UP:
                self._set_up(message)
            case Type.RELEASE:
                self._side.talked(self)
                cause = message.cause
                self.open.discard(message.call)
                self._side.exchange.handle_caller_release(
                    message.call, Cause.NORMAL if cause is None else cause
                )
                self._send(OutboundMessage(isup.encode(Message(Type.RELEASE_COMPLETE, message.call))))
            case Type.RELEASE_COMPLETE:
                self._side.talked(self)
                self._side.counters.add("releases_heard")
                self.unheard.pop(message.call, None)
            case Type.TEST:
                cause = 1 if self._side.is_in_service else 0
                reply = Message(Type.TESTED, message.call, {Code.CAUSE: bytes([cause])})
                self._send(OutboundMessage(isup.encode(reply)))
            case Type.PROGRESS | Type.GROUP_STATE | Type.TESTED:
                pass
            case _:
                self._side.counters.add("malformed_from_callers")
                log_event(logging.WARNING, "caller_unknown_type", type=message.type, call=message.call)
                if not self._side.exchange.has_call(message.call):
                    self._send_release(message.call, Cause.UNKNOWN_TYPE)

    def _set_up(self, message: Message) -> None:
        exchange = self._side.exchange
        if message.call in exchange.open_elsewhere:
            # Guards against a second attempt of a set-up that the process before this one still has open.
            self._side.counters.add("open_elsewhere")
            self.send_refusal(message.call, exchange.stay_away_ms)
            return
        if exchange.has_call(message.call) or exchange.is_recently_ended(message.call):
            # Guards against an answer or a release that would be taken for that of another set-up.
            self._side.counters.add("bad_set_ups")
            log_event(logging.WARNING, "caller_duplicate", call=message.call)
            if message.call in self.open:
                # Neither of the two can be told from the other: none may be served.
                exchange.abort_set_up(message.call)
                self.open.discard(message.call)
            self._send_release(message.call, Cause.INVALID_SET_UP)
            return
        offer = self._side.read_offer(message)
        if offer is None:
            log_event(logging.WARNING, "caller_bad_set_up", call=message.call)
            self._side.counters.add("bad_set_ups")
            self._send_release(message.call, Cause.INVALID_SET_UP)
            return
        self._side.talked(self)
        if len(self.open) >= MOST_OPEN_EACH or self._side.is_refusing:
            # Guards against one connection that takes what all callers share, and against one that is never
            # without a set-up and so would outlive a drain.
            exchange.refuse_set_up(offer, self)
            return
        self.open.add(message.call)
        exchange.handle_set_up(offer, self)

    def _ended(self) -> None:
        # Guards against losing set-ups of a caller that closed its sending half alone: they are answered.
        self._peer_ended = True
        for call in list(self.open):
            self._side.exchange.handle_caller_eof(call)
        if not self.open:
            self.connection.finish()

    def _closed(self, reason: str, unsent: list[OutboundMessage]) -> None:
        if self.open or unsent:
            log_event(logging.INFO, "caller_closed", reason=reason, open=len(self.open), unsent=len(unsent))
        self._side.forget(self)
        for call in list(self.open):
            self._side.exchange.handle_caller_release(call, Cause.NORMAL)
        self.open.clear()
        for outbound in unsent:
            self._undelivered(outbound)
        self._side.again(self.unheard)
