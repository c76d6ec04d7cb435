"""A fake session server for IAX2, behind a path that may lose, duplicate and reorder datagrams."""

from __future__ import annotations

import contextlib
import math
import secrets
import time
from random import Random

import gevent
from gevent import socket

from pearloom.core.config import Address
from pearloom.core.errors import Malformed
from pearloom.fakes.journal import EntryKind, Journal
from pearloom.fakes.script import Behaviour, Faults, Handling, LossyPath, ServerProfile
from pearloom.iax2 import call_tokens
from pearloom.iax2.element_mapping import ULAW, answer_elements
from pearloom.iax2.events import Event, HungUp, LegEnded, LegLost, MediaReceived, SetUpReceived
from pearloom.iax2.frames import (
    Element,
    Elements,
    FullFrame,
    Iax,
    MiniFrame,
    decode,
    decode_elements,
    join_description,
)
from pearloom.iax2.in_leg import InLeg
from pearloom.iax2.legs import answer_without_leg

PROTOCOL = "iax2"
_Peer = tuple[Address, int]
TICK_S = 0.01


class _ServerLeg(InLeg):
    """A leg with its call's id, state and handling."""

    peer: _Peer
    key: tuple[bytes, int]  # token and timestamp of its NEW
    call = ""
    is_established = False
    handling = Handling()


class Iax2Server:
    """Handles set-ups by its profile, releases established calls; can die, come back, and fall silent."""

    def __init__(
        self,
        journal: Journal,
        server: str,
        profile: ServerProfile,
        seed: int,
        faults: Faults | None = None,
        secret: str = "",
        asks_token: bool = True,
    ) -> None:
        """Listen on a free port of loopback."""
        self._journal, self.server, self.profile = journal, server, profile
        self._answer_count = 0
        self._random, self._secret, self._asks_token = Random(seed), secret, asks_token
        self._in, self._out = LossyPath(faults or Faults(), seed + 1), LossyPath(faults or Faults(), seed + 2)
        self._key = secrets.token_bytes(16)
        self._legs: dict[_Peer, _ServerLeg] = {}
        self._spent: dict[tuple[bytes, int], float] = {}
        self._next = 1 + self._random.randrange(30_000)
        self.silent = False  # ignores all datagrams and sends none, with its socket open
        self.omits_call_id = False  # answers carry no elements
        self.voice_received = 0  # voice frames received
        self.ignored_frames: set[Iax] = set()  # frames of these types are ignored, whatever the faults
        self._sock = self._bind(("127.0.0.1", 0))
        self.address: Address = self._sock.getsockname()
        self._running: list[gevent.Greenlet[..., None]] = [
            gevent.spawn(self._read, self._sock),
            gevent.spawn(self._tick),
        ]

    @staticmethod
    def _bind(address: Address) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        sock.bind(address)
        return sock

    @property
    def established_calls(self) -> int:
        """Count the established calls."""
        return sum(leg.is_established for leg in self._legs.values())

    def _now(self) -> float:
        return time.time() * 1000.0

    def _read(self, sock: socket.socket) -> None:
        while sock is self._sock:
            try:
                data, source = sock.recvfrom(65536)
            except OSError:
                return
            if not self.silent:
                self._in.carry(data, lambda data, source=source: self._handle_datagram(data, source))  # type: ignore[misc]

    def _handle_datagram(self, data: bytes, source: Address) -> None:
        frames = decode(data)
        if isinstance(frames, Malformed) or self.silent:
            return
        for frame in frames:
            leg = self._legs.get((source, frame.source))
            if isinstance(frame, FullFrame) and any(frame.is_iax(kind) for kind in self.ignored_frames):
                continue
            if isinstance(frame, FullFrame) and frame.is_iax(Iax.NEW):
                self._handle_new(frame, source, leg)
            elif leg is not None and (isinstance(frame, MiniFrame) or frame.destination in (0, leg.source)):
                self._flush(leg, leg.feed(frame, self._now()))
            elif isinstance(frame, FullFrame) and not frame.is_iax(Iax.INVAL):
                self._send(answer_without_leg(frame, Iax.INVAL), source)

    def _handle_new(self, frame: FullFrame, source: Address, leg: _ServerLeg | None) -> None:
        elements = decode_elements(frame.data)
        if isinstance(elements, Malformed):
            return
        token = elements.get(Element.CALLTOKEN) or b""
        key = (token, frame.timestamp)
        if leg is not None and leg.key == key:
            self._flush(leg, leg.feed(frame, self._now()))
            return
        if key in self._spent and self._now() - self._spent[key] < call_tokens.LIFETIME_MS:
            return
        if self._asks_token and not call_tokens.is_valid(self._key, source, frame.source, token, self._now()):
            issued = call_tokens.issue(self._key, source, frame.source, self._now())
            token_elements = Elements([(Element.CALLTOKEN, issued)]).encode()
            self._send(answer_without_leg(frame, Iax.CALLTOKEN, token_elements), source)
            return
        handling = self.profile.draw(self._random)
        if handling.behaviour is Behaviour.IGNORE:
            return
        self._next = self._next % 32_000 + 1
        leg = _ServerLeg(self._next, frame, elements, self._secret, f"{self._next:08x}", self._now())
        leg.peer, leg.key, leg.handling = (source, frame.source), key, handling
        self._legs[leg.peer] = leg
        self._flush(leg, leg.start(self._now()))

    def _flush(self, leg: _ServerLeg, events: list[Event]) -> None:
        for event in events:
            self._handle_event(leg, event)
        for data in leg.take_datagrams():
            self._send(data, leg.peer[0])

    def _send(self, data: bytes, address: Address) -> None:
        if not self.silent:
            self._out.carry(data, lambda data: self._put(data, address))

    def _put(self, data: bytes, address: Address) -> None:
        with contextlib.suppress(OSError):
            self._sock.sendto(data, address)

    def _handle_event(self, leg: _ServerLeg, event: Event) -> None:
        match event:
            case SetUpReceived(elements):
                self._handle_set_up(leg, elements)
            case HungUp(_) if leg.call:
                self._journal.add(
                    EntryKind.RELEASE_RECEIVED if leg.is_established else EntryKind.CANCELLED,
                    self.server,
                    leg.call,
                )
                leg.is_established = False
            case LegLost(_) if leg.call:
                self._journal.add(
                    EntryKind.SERVER_RELEASED if leg.is_established else EntryKind.DROPPED,
                    self.server,
                    leg.call,
                )
                leg.is_established = False
            case MediaReceived(media):
                self.voice_received += 1
                leg.transmit_media(media, self._now())  # echoes the voice
            case LegEnded():
                self._spent[leg.key] = self._now()
                if self._legs.get(leg.peer) is leg:
                    del self._legs[leg.peer]

    def _handle_set_up(self, leg: _ServerLeg, elements: Elements) -> None:
        description = join_description(elements)
        leg.call = (elements.get(Element.CALL) or b"").hex()
        self._journal.add(
            EntryKind.SET_UP,
            self.server,
            leg.call,
            elements.text(Element.CALLED_CONTEXT) or "",
            PROTOCOL,
            description if isinstance(description, bytes) else b"",
            elements.text(Element.CALLED_NUMBER) or "",
        )
        if leg.handling.behaviour is not Behaviour.NO_ANSWER:
            gevent.spawn_later(leg.handling.delay_ms / 1000.0, self._respond, leg)

    def _respond(self, leg: _ServerLeg) -> None:
        if leg.is_ended or leg.is_closing or self._legs.get(leg.peer) is not leg:
            return
        if leg.handling.behaviour is Behaviour.REFUSE:
            self._journal.add(EntryKind.DECLINED, self.server, leg.call)
            leg.reject(leg.handling.cause, "", 0.0, self._now())
        else:
            self._answer_count += 1  # makes each answer unique, so that answers can be told apart
            description = f"{self.server} {leg.call} {self._answer_count} ".encode().ljust(
                self.profile.description_bytes, b"."
            )
            elements = answer_elements(description)
            if leg.handling.behaviour is Behaviour.MALFORMED or self.omits_call_id:
                elements = [] if self.omits_call_id else elements[1:] or [(Element.DESCRIPTION, b"\x07x")]
                self._journal.add(EntryKind.DECLINED, self.server, leg.call)
            else:
                leg.is_established = True
                self._journal.add(EntryKind.ANSWERED, self.server, leg.call, description=description)
                gevent.spawn_later(leg.handling.hold_ms / 1000.0, self.end, leg)
            leg.answer(ULAW, elements, self._now())
        self._flush(leg, [])

    def end(self, leg: _ServerLeg) -> None:
        """Release an established call; a no-op for other calls."""
        if leg.is_established and self._legs.get(leg.peer) is leg:
            leg.is_established = False
            self._journal.add(EntryKind.SERVER_RELEASED, self.server, leg.call)
            leg.hang_up(16, self._now())
            self._flush(leg, [])

    def _tick(self) -> None:
        while True:
            gevent.sleep(TICK_S)
            now = self._now()
            for leg in list(self._legs.values()):
                if leg.due_ms() <= now < math.inf:
                    self._flush(leg, leg.tick(now))

    def die(self) -> None:
        """End as a crashed process does, with all calls."""
        self._journal.add(EntryKind.DIED, self.server)
        self._legs.clear()
        self._running[0].kill()  # before the close: a pending read would keep the address in use
        self._sock.close()

    def revive(self) -> None:
        """Start again at the same address, without any state of before."""
        self._key = secrets.token_bytes(16)
        self._sock = self._bind(self.address)
        self._running[0] = gevent.spawn(self._read, self._sock)

    def close(self) -> None:
        """Stop all work and close the socket."""
        gevent.killall(self._running)
        self._sock.close()
