"""Fake callers of both protocols: they place calls, wait no longer than announced, and record replies."""

from __future__ import annotations

import contextlib
import math
import time
from dataclasses import dataclass

import gevent
from gevent import socket

from pearloom.binary import isup
from pearloom.binary.isup import Code, Message, Type
from pearloom.core.calls import Media, MediaKind, SetUpRequest
from pearloom.core.config import Address
from pearloom.core.errors import Malformed
from pearloom.fakes.journal import EntryKind, Journal
from pearloom.fakes.reading import messages
from pearloom.fakes.rules import SLACK_MS
from pearloom.fakes.script import Faults, LossyPath
from pearloom.iax2.call_numbers import CallNumbers
from pearloom.iax2.element_mapping import ULAW, caller_elements
from pearloom.iax2.events import Answered, Event, Failed, HungUp, LegEnded, LegLost, MediaReceived, Rejected
from pearloom.iax2.frames import Elements, FullFrame, Iax, decode
from pearloom.iax2.legs import answer_without_leg
from pearloom.iax2.out_leg import OutLeg

REFUSED = (34, 42, 102)  # Q.850 causes after which trying again is harmless
TICK_S = 0.01


@dataclass(slots=True)
class _Call:
    """One call of a caller."""

    is_established: bool = False
    has_answer: bool = False  # the final answer was received


def _now() -> float:
    return time.time() * 1000.0


def _record_set_up(journal: Journal, caller: str, protocol: str, request: SetUpRequest) -> None:
    journal.add(
        EntryKind.OFFERED, caller, request.call, request.class_name, protocol, request.description,
        request.number, request.patience_ms,
    )  # fmt: skip


class BinaryCaller:
    """Places calls over the binary protocol, on one connection that is opened again after it was closed."""

    protocol = "binary"

    def __init__(self, journal: Journal, name: str, address: Address) -> None:
        """Start without a connection: the first call opens it."""
        self._journal, self.name, self._address = journal, name, address
        self._sock: socket.socket | None = None
        self._calls: dict[str, _Call] = {}

    def _connection(self) -> socket.socket:
        if self._sock is None:
            self._sock = socket.create_connection(self._address, timeout=5)
            self._sock.settimeout(None)
            gevent.spawn(self._read, self._sock)
        return self._sock

    def place(self, request: SetUpRequest, holds_ms: float = math.inf) -> None:
        """Send a set-up; the call is released after `holds_ms` if it is established then."""
        attributes = f"dest:{request.first_choice};width:1;via:-1" + (";again:1" if request.was_cut else "")
        parameters = {
            int(Code.CLASS): request.class_name.encode(),
            int(Code.PATIENCE_MS): str(int(request.patience_ms)).encode(),
            int(Code.NUMBER): request.number.encode(),
            int(Code.ATTRIBUTES): attributes.encode(),
            int(Code.DESCRIPTION): request.description,
        }
        sock = self._connection()  # before the journal entry: without a listener no set-up is sent
        self._calls[request.call] = _Call()
        data = isup.encode(Message(Type.SET_UP, request.call, parameters))
        _record_set_up(self._journal, self.name, self.protocol, request)
        try:
            sock.sendall(data)
        except OSError:
            self._sock = None
            self._connection().sendall(data)  # the softswitch closed the idle connection at the same moment
        gevent.spawn_later((request.patience_ms + SLACK_MS) / 1000.0, self._give_up, request.call)
        if holds_ms < math.inf:
            gevent.spawn_later(holds_ms / 1000.0, self._release_established, request.call)

    def _give_up(self, call: str) -> None:
        state = self._calls.get(call)
        if state is not None and not state.has_answer:
            self._journal.add(EntryKind.GAVE_UP, self.name, call)
            del self._calls[call]
            self._release(call, 16)

    def _release_established(self, call: str) -> None:
        state = self._calls.get(call)
        if state is not None and state.is_established:
            self._journal.add(EntryKind.CALLER_RELEASED, self.name, call)
            del self._calls[call]
            self._release(call, 16)

    def _release(self, call: str, cause: int) -> None:
        message = Message(Type.RELEASE, call, {int(Code.CAUSE): bytes((cause,))})
        try:
            self._connection().sendall(isup.encode(message))
        except OSError:
            self._sock = None

    def _read(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):  # from sending a reply after the peer has closed
            for message in messages(sock, isup.Decoder()):
                self._handle_message(sock, message)
        if self._sock is sock:
            self._sock = None
        sock.close()

    def _handle_message(self, sock: socket.socket, message: Message) -> None:
        state = self._calls.get(message.call)
        if message.type == Type.ANSWER and state is not None:
            state.is_established = state.has_answer = True
            description = message.parameters.get(Code.DESCRIPTION, b"")
            self._journal.add(EntryKind.ESTABLISHED, self.name, message.call, description=description)
        elif message.type == Type.RELEASE:
            sock.sendall(isup.encode(Message(Type.RELEASE_COMPLETE, message.call)))
            if state is not None:
                del self._calls[message.call]
                refused = message.cause in REFUSED
                kind = (
                    EntryKind.RELEASED
                    if state.has_answer
                    else EntryKind.REFUSED
                    if refused
                    else EntryKind.FAILED
                )
                self._journal.add(kind, self.name, message.call)

    def close(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            self._sock.close()


class _CallerLeg(OutLeg):
    """A leg with its call's id and state."""

    call = ""
    is_established = False


class Iax2Caller:
    """Places calls over IAX2, behind a path that may lose, duplicate and reorder datagrams."""

    protocol = "iax2"

    def __init__(
        self,
        journal: Journal,
        name: str,
        address: Address,
        seed: int,
        faults: Faults | None = None,
        secret: str = "",
        host: str = "127.0.0.1",
    ) -> None:
        """Open a socket at `host`; `secret`: for callers that have to authenticate."""
        self._journal, self.name, self._address, self._secret = journal, name, address, secret
        self._in, self._out = LossyPath(faults or Faults(), seed + 1), LossyPath(faults or Faults(), seed + 2)
        self._numbers = CallNumbers(1 + seed * 7919 % 30_000)
        self._legs: dict[int, _CallerLeg] = {}
        self._by_call: dict[str, _CallerLeg] = {}
        self.voice_received = 0  # voice frames received
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        self._sock.bind((host, 0))
        self._running = [gevent.spawn(self._read), gevent.spawn(self._tick)]

    def place(self, request: SetUpRequest, holds_ms: float = math.inf) -> None:
        """Send a set-up; the call is released after `holds_ms` if it is established then."""
        number = self._numbers.allocate(_now())
        if number is None:
            raise RuntimeError("no call number is free")
        request.codec = ULAW
        elements = Elements(caller_elements(request, self.name if self._secret else ""))
        leg = _CallerLeg(number, elements, self._secret, _now(), lambda: True)
        leg.call = request.call
        self._legs[number] = self._by_call[request.call] = leg
        _record_set_up(self._journal, self.name, self.protocol, request)
        leg.start(_now())
        self._flush(leg, [])
        gevent.spawn_later((request.patience_ms + SLACK_MS) / 1000.0, self._give_up, leg)
        if holds_ms < math.inf:
            gevent.spawn_later(holds_ms / 1000.0, self._release_established, leg)

    def send_voice(self, call: str, stamp_ms: int, payload: bytes) -> None:
        """Send one voice frame in an established call; a no-op for other calls."""
        leg = self._by_call.get(call)
        if leg is not None and leg.is_established:
            leg.transmit_media(Media(MediaKind.VOICE, ULAW, stamp_ms, payload), _now())
            self._flush(leg, [])

    def _give_up(self, leg: _CallerLeg) -> None:
        if not leg.is_established and not leg.is_ended and not leg.is_closing:
            self._journal.add(EntryKind.GAVE_UP, self.name, leg.call)
            leg.hang_up(16, _now())
            self._flush(leg, [])

    def _release_established(self, leg: _CallerLeg) -> None:
        if leg.is_established and not leg.is_closing and not leg.is_ended:
            self._journal.add(EntryKind.CALLER_RELEASED, self.name, leg.call)
            leg.hang_up(16, _now())
            self._flush(leg, [])

    def _flush(self, leg: _CallerLeg, events: list[Event]) -> None:
        for event in events:
            self._handle_event(leg, event)
        for data in leg.take_datagrams():
            self._out.carry(data, self._send)

    def _send(self, data: bytes) -> None:
        with contextlib.suppress(OSError):
            self._sock.sendto(data, self._address)

    def _handle_event(self, leg: _CallerLeg, event: Event) -> None:
        match event:
            case Answered(description, _):
                leg.is_established = True
                self._journal.add(EntryKind.ESTABLISHED, self.name, leg.call, description=description or b"")
            case Rejected(_, cause, _, _):
                kind = EntryKind.REFUSED if cause in REFUSED else EntryKind.FAILED
                self._journal.add(kind, self.name, leg.call)
            case Failed():
                self._journal.add(EntryKind.GAVE_UP, self.name, leg.call)
            case HungUp() | LegLost():
                self._journal.add(EntryKind.RELEASED, self.name, leg.call)
                leg.is_established = False
            case MediaReceived():
                self.voice_received += 1
            case LegEnded():
                self._legs.pop(leg.source, None)
                self._by_call.pop(leg.call, None)
                self._numbers.release(leg.source, _now())

    def _read(self) -> None:
        while True:
            try:
                data, _ = self._sock.recvfrom(65536)
            except OSError:
                return
            self._in.carry(data, self._handle_datagram)

    def _handle_datagram(self, data: bytes) -> None:
        frames = decode(data)
        if isinstance(frames, Malformed):
            return
        for frame in frames:
            if isinstance(frame, FullFrame):
                leg = self._legs.get(frame.destination)
                if leg is None and not frame.is_iax(Iax.INVAL):
                    self._out.carry(answer_without_leg(frame, Iax.INVAL), self._send)
            else:
                matching = (
                    candidate
                    for candidate in self._legs.values()
                    if candidate.transport.destination == frame.source
                )
                leg = next(matching, None)
            if leg is not None:
                self._flush(leg, leg.feed(frame, _now()))

    def _tick(self) -> None:
        while True:
            gevent.sleep(TICK_S)
            now = _now()
            for leg in list(self._legs.values()):
                if leg.due_ms() <= now:
                    self._flush(leg, leg.tick(now))

    def close(self) -> None:
        """Close the socket without releasing the calls."""
        gevent.killall(self._running)
        self._sock.close()
