"""Callers of both protocols: each places calls, waits as long as it said, and notes what it is told."""

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
from pearloom.iax2.events import Answered, Event, Failed, Gone, Heard, HungUp, Over, Rejected
from pearloom.iax2.frames import Elements, Full, Iax, decode
from pearloom.iax2.legs import answer_without_leg
from pearloom.iax2.mapping import ULAW, call_elements
from pearloom.iax2.numbers import CallNumbers
from pearloom.iax2.out_leg import OutLeg

REFUSED = (34, 42, 102)  # Q.850 causes that say: trying again is harmless
TICK_S = 0.01


@dataclass(slots=True)
class _Open:
    """One call of a caller."""

    stands: bool = False
    told: bool = False  # its final answer came


def _now() -> float:
    return time.time() * 1000.0


def _offered(journal: Journal, who: str, protocol: str, offer: SetUpRequest) -> None:
    journal.add(
        EntryKind.OFFERED, who, offer.call, offer.class_name, protocol, offer.description, offer.number,
        offer.patience_ms,
    )  # fmt: skip


class BinaryCaller:
    """Brings calls over the binary protocol, on one connection that is opened again when it is closed."""

    protocol = "binary"

    def __init__(self, journal: Journal, name: str, address: Address) -> None:
        """Not connected yet."""
        self._journal, self.name, self._address = journal, name, address
        self._sock: socket.socket | None = None
        self._calls: dict[str, _Open] = {}

    def _connected(self) -> socket.socket:
        if self._sock is None:
            self._sock = socket.create_connection(self._address, timeout=5)
            self._sock.settimeout(None)
            gevent.spawn(self._read, self._sock)
        return self._sock

    def place(self, offer: SetUpRequest, holds_ms: float = math.inf) -> None:
        """Send a set-up; a call that stands is released after `holds_ms`, if it still stands."""
        figures = f"dest:{offer.first_choice};width:1;via:-1" + (";again:1" if offer.was_cut else "")
        parameters = {
            int(Code.CLASS): offer.class_name.encode(),
            int(Code.PATIENCE_MS): str(int(offer.patience_ms)).encode(),
            int(Code.NUMBER): offer.number.encode(),
            int(Code.ATTRIBUTES): figures.encode(),
            int(Code.DESCRIPTION): offer.description,
        }
        sock = self._connected()  # before anything is noted: where nobody listens, nothing was offered
        self._calls[offer.call] = _Open()
        data = isup.encode(Message(Type.SET_UP, offer.call, parameters))
        _offered(self._journal, self.name, self.protocol, offer)
        try:
            sock.sendall(data)
        except OSError:
            self._sock = None
            self._connected().sendall(data)  # it crossed a close of a connection without set-ups
        gevent.spawn_later((offer.patience_ms + SLACK_MS) / 1000.0, self._give_up, offer.call)
        if holds_ms < math.inf:
            gevent.spawn_later(holds_ms / 1000.0, self._leave, offer.call)

    def _give_up(self, call: str) -> None:
        held = self._calls.get(call)
        if held is not None and not held.told:
            self._journal.add(EntryKind.GAVE_UP, self.name, call)
            del self._calls[call]
            self._release(call, 16)

    def _leave(self, call: str) -> None:
        held = self._calls.get(call)
        if held is not None and held.stands:
            self._journal.add(EntryKind.CALLER_RELEASED, self.name, call)
            del self._calls[call]
            self._release(call, 16)

    def _release(self, call: str, cause: int) -> None:
        message = Message(Type.RELEASE, call, {int(Code.CAUSE): bytes((cause,))})
        try:
            self._connected().sendall(isup.encode(message))
        except OSError:
            self._sock = None

    def _read(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):  # of an answer: whoever asked is gone
            for message in messages(sock, isup.Decoder()):
                self._message(sock, message)
        if self._sock is sock:
            self._sock = None
        sock.close()

    def _message(self, sock: socket.socket, message: Message) -> None:
        held = self._calls.get(message.call)
        if message.type == Type.ANSWER and held is not None:
            held.stands = held.told = True
            made = message.parameters.get(Code.DESCRIPTION, b"")
            self._journal.add(EntryKind.ESTABLISHED, self.name, message.call, description=made)
        elif message.type == Type.RELEASE:
            sock.sendall(isup.encode(Message(Type.RELEASE_COMPLETE, message.call)))
            if held is not None:
                del self._calls[message.call]
                refused = message.cause in REFUSED
                what = EntryKind.RELEASED if held.told else EntryKind.REFUSED if refused else EntryKind.FAILED
                self._journal.add(what, self.name, message.call)

    def close(self) -> None:
        """End the connection."""
        if self._sock is not None:
            self._sock.close()


class _CallerLeg(OutLeg):
    """A leg and the call on it."""

    call = ""
    stands = False


class Iax2Caller:
    """Brings calls over IAX2, behind a path that may lose, double and reorder."""

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
        """Open a socket at `host`."""
        self._journal, self.name, self._address, self._secret = journal, name, address, secret
        self._in, self._out = LossyPath(faults or Faults(), seed + 1), LossyPath(faults or Faults(), seed + 2)
        self._numbers = CallNumbers(1 + seed * 7919 % 30_000)
        self._legs: dict[int, _CallerLeg] = {}
        self._by_call: dict[str, _CallerLeg] = {}
        self.voice_received = 0  # pieces of voice that came
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        self._sock.bind((host, 0))
        self._running = [gevent.spawn(self._read), gevent.spawn(self._tick)]

    def place(self, offer: SetUpRequest, holds_ms: float = math.inf) -> None:
        """Send a set-up; a call that stands is released after `holds_ms`, if it still stands."""
        number = self._numbers.take(_now())
        if number is None:
            raise RuntimeError("no call number is free")
        offer.codec = ULAW
        elements = Elements(call_elements(offer, self.name if self._secret else ""))
        leg = _CallerLeg(number, elements, self._secret, _now(), lambda: True)
        leg.call = offer.call
        self._legs[number] = self._by_call[offer.call] = leg
        _offered(self._journal, self.name, self.protocol, offer)
        leg.start(_now())
        self._flush(leg, [])
        gevent.spawn_later((offer.patience_ms + SLACK_MS) / 1000.0, self._give_up, leg)
        if holds_ms < math.inf:
            gevent.spawn_later(holds_ms / 1000.0, self._leave, leg)

    def send_voice(self, call: str, stamp_ms: int, payload: bytes) -> None:
        """Say something in a call that stands."""
        leg = self._by_call.get(call)
        if leg is not None and leg.stands:
            leg.say(Media(MediaKind.VOICE, ULAW, stamp_ms, payload), _now())
            self._flush(leg, [])

    def _give_up(self, leg: _CallerLeg) -> None:
        if not leg.stands and not leg.over and not leg.closing:
            self._journal.add(EntryKind.GAVE_UP, self.name, leg.call)
            leg.hang_up(16, _now())
            self._flush(leg, [])

    def _leave(self, leg: _CallerLeg) -> None:
        if leg.stands and not leg.closing and not leg.over:
            self._journal.add(EntryKind.CALLER_RELEASED, self.name, leg.call)
            leg.hang_up(16, _now())
            self._flush(leg, [])

    def _flush(self, leg: _CallerLeg, events: list[Event]) -> None:
        for event in events:
            self._event(leg, event)
        for data in leg.take():
            self._out.carry(data, self._put)

    def _put(self, data: bytes) -> None:
        with contextlib.suppress(OSError):
            self._sock.sendto(data, self._address)

    def _event(self, leg: _CallerLeg, event: Event) -> None:
        match event:
            case Answered(description, _):
                leg.stands = True
                self._journal.add(EntryKind.ESTABLISHED, self.name, leg.call, description=description or b"")
            case Rejected(_, cause, _, _):
                what = EntryKind.REFUSED if cause in REFUSED else EntryKind.FAILED
                self._journal.add(what, self.name, leg.call)
            case Failed():
                self._journal.add(EntryKind.GAVE_UP, self.name, leg.call)
            case HungUp() | Gone():
                self._journal.add(EntryKind.RELEASED, self.name, leg.call)
                leg.stands = False
            case Heard():
                self.voice_received += 1
            case Over():
                self._legs.pop(leg.source, None)
                self._by_call.pop(leg.call, None)
                self._numbers.give_back(leg.source, _now())

    def _read(self) -> None:
        while True:
            try:
                data, _ = self._sock.recvfrom(65536)
            except OSError:
                return
            self._in.carry(data, self._datagram)

    def _datagram(self, data: bytes) -> None:
        frames = decode(data)
        if isinstance(frames, Malformed):
            return
        for frame in frames:
            if isinstance(frame, Full):
                leg = self._legs.get(frame.destination)
                if leg is None and not frame.is_iax(Iax.INVAL):
                    self._out.carry(answer_without_leg(frame, Iax.INVAL), self._put)
            else:
                theirs = (one for one in self._legs.values() if one.transport.destination == frame.source)
                leg = next(theirs, None)
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
        """End without a word."""
        gevent.killall(self._running)
        self._sock.close()
