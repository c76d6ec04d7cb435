"""The server side: callers that bring set-ups over the binary protocol."""

from __future__ import annotations

import logging
import re
from collections import OrderedDict, deque

import gevent
from gevent import socket

from pearloom.net import isup
from pearloom.net.clock import Clock
from pearloom.net.config import Address
from pearloom.net.connection import Connection, Letter
from pearloom.net.counters import Counters
from pearloom.net.errors import Malformed
from pearloom.net.exchange import Caller, Exchange, Offer
from pearloom.net.isup import Cause, Code, Message, Type
from pearloom.net.logs import note

CONNECTIONS_SHARE = 0.6  # x descriptors: callers hold at most a third; the rest is for servers and files
BACKLOG = 512
UNHEARD_MS = 5000.0  # a release whose connection ends within this time, unconfirmed, is sent again
RELEASES_KEPT = 20_000  # releases that wait for a connection
_NUMBER = re.compile(r"[0-9A-Za-z+*#._-]{1,64}")
_MILLISECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{1,6})?")
_FIGURE = re.compile(r"(?:^|;)\s*([a-z]+)\s*:\s*(-?[0-9]{1,9})\s*(?=;|$)")
Release = tuple[str, int]  # call and cause


class _AnswerLetter(Letter):
    """An answer that says that a call stands."""

    __slots__ = ()


class CallerConnection:
    """One connection from a caller."""

    def __init__(self, side: Callers, sock: socket.socket) -> None:
        """Take an accepted connection."""
        self._side = side
        self._decoder = isup.Decoder()
        self._peer_ended = False
        self.open: set[str] = set()  # set-ups that are owed an answer on this connection
        self.unheard: OrderedDict[str, tuple[int, float]] = OrderedDict()  # releases sent: cause, when
        self.connection = Connection(sock, self._data, self._ended, self._closed)

    # --- exchange.Caller
    def stands(self, call: str, description: bytes) -> None:
        """Pass the answer on."""
        self.open.discard(call)
        message = Message(Type.ANSWER, call, {Code.DESCRIPTION: description})
        self._send(_AnswerLetter(isup.encode(message), call))

    def refused(self, call: str, stay_away_ms: float) -> None:
        """Turn the set-up away."""
        self.open.discard(call)
        parameters = {int(Code.CAUSE): bytes([Cause.CONGESTION])}
        if stay_away_ms > 0:
            parameters[Code.STAY_AWAY_MS] = str(round(stay_away_ms)).encode("ascii")
        self._send(Letter(isup.encode(Message(Type.RELEASE, call, parameters)), call))

    def failed(self, call: str) -> None:
        """Say that the set-up failed."""
        self.open.discard(call)
        self._send_release(call, Cause.TEMPORARY_FAILURE)

    # --- the rest
    def release(self, call: str, cause: int, since_ms: float) -> None:
        """A call that stood is over, and its caller has been told since then, if not on this connection."""
        self.unheard[call] = (cause, since_ms)
        while next(iter(self.unheard.values()))[1] < since_ms - UNHEARD_MS:
            self.unheard.popitem(last=False)
        self._send_release(call, cause)

    def _send_release(self, call: str, cause: int) -> None:
        message = Message(Type.RELEASE, call, {Code.CAUSE: bytes([cause])})
        self._send(Letter(isup.encode(message), call))

    def _send(self, letter: Letter) -> None:
        if self.connection.closed:
            self._undelivered(letter)
            return
        self.connection.send(letter)
        if self._peer_ended and not self.open:
            self.connection.finish()

    def _undelivered(self, letter: Letter) -> None:
        """Guards against a call that stands at a server while its caller never hears of it."""
        if isinstance(letter, _AnswerLetter):
            self._side.exchange.left(letter.call, Cause.TEMPORARY_FAILURE)

    def _data(self, data: bytes) -> None:
        for message in self._decoder.feed(data):
            if isinstance(message, Malformed):
                self._side.counters.add("malformed_from_callers")
                note(logging.WARNING, "caller_malformed", reason=message.reason, closed=message.fatal)
                if message.fatal:
                    self.connection.close("malformed")
            else:
                self._message(message)

    def _message(self, message: Message) -> None:
        match message.type:
            case Type.SET_UP:
                self._set_up(message)
            case Type.RELEASE:
                cause = message.cause
                self.open.discard(message.call)
                self._side.exchange.left(message.call, Cause.NORMAL if cause is None else cause)
                self._send(Letter(isup.encode(Message(Type.RELEASE_HEARD, message.call))))
            case Type.RELEASE_HEARD:
                self._side.counters.add("releases_heard")
                self.unheard.pop(message.call, None)
            case Type.TEST:
                cause = 0 if self._side.stopping else 1
                reply = Message(Type.TESTED, message.call, {Code.CAUSE: bytes([cause])})
                self._send(Letter(isup.encode(reply)))
            case Type.PROGRESS | Type.GROUP_STATE | Type.TESTED:
                pass
            case _:
                note(logging.WARNING, "caller_unknown_type", type=message.type, call=message.call)

    def _set_up(self, message: Message) -> None:
        if self._side.exchange.is_open(message.call):
            note(logging.WARNING, "caller_duplicate", call=message.call)
            return
        offer = self._side.read_offer(message)
        if offer is None:
            note(logging.WARNING, "caller_bad_set_up", call=message.call)
            self._side.counters.add("bad_set_ups")
            self._send_release(message.call, Cause.INVALID_SET_UP)
            return
        self.open.add(message.call)
        self._side.exchange.offered(offer, self)

    def _ended(self) -> None:
        # Guards against losing set-ups of a caller that closed its sending half alone: they are answered.
        self._peer_ended = True
        if not self.open:
            self.connection.finish()

    def _closed(self, reason: str, unsent: list[Letter]) -> None:
        if reason != "done":
            note(logging.INFO, "caller_closed", reason=reason, open=len(self.open), unsent=len(unsent))
        self._side.forget(self)
        for call in list(self.open):
            self._side.exchange.left(call, Cause.NORMAL)
        self.open.clear()
        for letter in unsent:
            self._undelivered(letter)
        self._side.again(self.unheard)


class Callers:
    """Listens for callers and spreads what is to be told to them."""

    def __init__(
        self, exchange: Exchange, clock: Clock, counters: Counters, class_names: tuple[str, ...], sockets: int
    ) -> None:
        """Listen to nobody yet."""
        self.exchange = exchange
        self.counters = counters
        self.stopping = False
        self._clock = clock
        self._kinds = {name: number for number, name in enumerate(class_names)}
        self._most = int(CONNECTIONS_SHARE * sockets)
        self._connections: dict[CallerConnection, None] = {}
        self._unsent: deque[Release] = deque(maxlen=RELEASES_KEPT)

    def listen(self, address: Address) -> Address:
        """Open the listening socket, take connections from now on, and return where."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
        gevent.spawn(self._accept, sock)
        host, port = sock.getsockname()
        return host, port

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError as trouble:
                # Guards against a busy loop when descriptors run out: the connection stays in the backlog.
                note(logging.ERROR, "accept_failed", errno=trouble.errno)
                gevent.sleep(0.05)
                continue
            self._make_room()
            caller = CallerConnection(self, sock)
            self._connections[caller] = None
            self.counters.add("caller_connections")
            caller.connection.start()
            while self._unsent and not caller.connection.closed:
                caller.release(*self._unsent.popleft(), self._clock.now_ms())

    def _make_room(self) -> None:
        """Guards against running out of descriptors: the oldest connections without a set-up go first."""
        if len(self._connections) < self._most:
            return
        idle = next((caller for caller in self._connections if not caller.open), None)
        oldest = idle or next(iter(self._connections))
        note(logging.WARNING, "caller_connections_full", most=self._most, open=len(oldest.open))
        oldest.connection.close("too many connections")

    def read_offer(self, message: Message) -> Offer | None:
        """The set-up in a message, or None where it lacks what a set-up needs."""
        name = message.text(Code.CLASS)
        patience = message.text(Code.PATIENCE_MS) or ""
        number = message.text(Code.NUMBER) or ""
        kind = self._kinds.get(name or "")
        if name is None or kind is None or not _MILLISECONDS.fullmatch(patience):
            return None
        if not _NUMBER.fullmatch(number):
            return None
        figures = dict(_FIGURE.findall(message.text(Code.FIGURES) or ""))
        return Offer(
            call=message.call,
            kind=kind,
            class_name=name,
            number=number,
            description=message.parameters.get(Code.DESCRIPTION, b""),
            patience_ms=float(patience),
            first_choice=int(figures.get("dest", -1)),
            was_cut=figures.get("again") == "1",
        )

    # --- exchange.CallerSide
    def release(self, call: str, cause: int, caller: Caller | None) -> None:
        """Tell the caller that brought the call, else any other, else the next one that connects."""
        self.counters.add("releases_out")
        self._release(call, cause, self._clock.now_ms(), caller)

    def _release(self, call: str, cause: int, since_ms: float, caller: Caller | None) -> None:
        """`since_ms` stays that of the first sending, so that it is not sent again for ever."""
        if isinstance(caller, CallerConnection) and not caller.connection.closed:
            chosen: CallerConnection | None = caller
        else:
            chosen = next(reversed(self._connections), None)
        if chosen is None:
            self._unsent.append((call, cause))
        else:
            chosen.release(call, cause, since_ms)

    def forget(self, caller: CallerConnection) -> None:
        """A connection has ended."""
        self._connections.pop(caller, None)

    def again(self, unheard: OrderedDict[str, tuple[int, float]]) -> None:
        """Guards against a release that was written to a connection which then broke."""
        since = self._clock.now_ms() - UNHEARD_MS
        for call, (cause, sent_ms) in unheard.items():
            if sent_ms >= since:
                self._release(call, cause, sent_ms, None)
