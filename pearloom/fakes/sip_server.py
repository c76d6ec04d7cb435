"""A session server that speaks SIP, by script."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from random import Random

import gevent
from gevent import socket

from pearloom.core.config import Address
from pearloom.fakes.journal import EntryKind, Journal
from pearloom.fakes.reading import Decoder, messages
from pearloom.fakes.script import Behaviour, Handling, ServerProfile
from pearloom.sip import codec as sip

PROTOCOL = "sip"
# What a Q.850 cause of a script is in SIP.
_STATUS = {42: (503, "acc"), 34: (503, "atb"), 17: (486, "sub"), 27: (480, ""), 38: (504, ""), 41: (500, "")}


@dataclass(slots=True)
class _Held:
    """A call at this server."""

    request: sip.Request
    sock: socket.socket
    sequence: str
    stands: bool = False


class SipServer:
    """Listens, answers by its manner, ends what stood, and can die."""

    def __init__(self, journal: Journal, server: str, manner: ServerProfile, seed: int) -> None:
        """Listen on loopback."""
        self._journal, self.server, self.profile = journal, server, manner
        self._made = 0
        self._random = Random(seed)
        self._calls: dict[str, _Held] = {}
        self._socks: list[socket.socket] = []
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(64)
        self.address: Address = self._listener.getsockname()
        self._accepting = gevent.spawn(self._accept)

    @property
    def established_calls(self) -> int:
        """Calls that stand."""
        return sum(held.stands for held in self._calls.values())

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            self._socks.append(sock)
            gevent.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        decoder: Decoder[sip.Request | sip.Response] = sip.Decoder()
        with contextlib.suppress(OSError):  # of an answer: whoever asked is gone
            for message in messages(sock, decoder):
                self._message(sock, message)
        if sock in self._socks:
            self._socks.remove(sock)
        sock.close()
        for call, held in list(self._calls.items()):
            if held.sock is sock and not held.stands:
                self._journal.add(EntryKind.DROPPED, self.server, call)
                del self._calls[call]

    def _message(self, sock: socket.socket, message: sip.Request | sip.Response) -> None:
        call = sip.call_of(message)
        if call is None or isinstance(message, sip.Response):
            return
        if message.method == "INVITE":
            self._invited(sock, call, message)
        elif message.method == "CANCEL":
            held = self._calls.get(call)
            if held is not None and not held.stands:
                self._journal.add(EntryKind.CANCELLED, self.server, call)
                del self._calls[call]
        elif message.method == "BYE":
            self._write(sock, sip.encode_response(message, 200, "OK"))
            if self._calls.pop(call, None) is not None:
                self._journal.add(EntryKind.RELEASE_RECEIVED, self.server, call)

    def _invited(self, sock: socket.socket, call: str, request: sip.Request) -> None:
        self._journal.add(
            EntryKind.SET_UP,
            self.server,
            call,
            request.headers.get("x-call-class", ""),
            PROTOCOL,
            request.body,
            request.number,
        )
        held = self._calls[call] = _Held(request, sock, request.headers.get("cseq", ""))
        act = self.profile.draw(self._random)
        if act.behaviour not in (Behaviour.NO_ANSWER, Behaviour.IGNORE):
            gevent.spawn_later(act.delay_ms / 1000.0, self._act, call, held, act)

    def _act(self, call: str, held: _Held, act: Handling) -> None:
        if self._calls.get(call) is not held:
            return
        if act.behaviour is Behaviour.REFUSE:
            status, why = _STATUS.get(act.cause, (500, ""))
            del self._calls[call]
            self._journal.add(EntryKind.DECLINED, self.server, call)
            self._write(
                held.sock, self._response(call, held, status, f"X-Why: {why}\r\n" if why else "", b"")
            )
            return
        self._made += 1  # no two answers are alike, so that one can be told from the other
        made = f"{self.server} {call} {self._made} ".encode().ljust(self.profile.description_bytes, b".")
        held.stands = True
        spoilt = act.behaviour is Behaviour.MALFORMED
        if not spoilt:
            self._journal.add(EntryKind.ANSWERED, self.server, call, description=made)
        else:
            self._journal.add(EntryKind.DECLINED, self.server, call)
            del self._calls[call]
        self._write(held.sock, self._response(call, held, 200, "", b"" if spoilt else made))
        if not spoilt:
            gevent.spawn_later(act.hold_ms / 1000.0, self._end, call, held)

    @staticmethod
    def _response(call: str, held: _Held, status: int, more: str, body: bytes) -> bytes:
        head = f"SIP/2.0 {status} X\r\nCall-ID: {call}\r\nCSeq: {held.sequence}\r\n{more}"
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body

    def _end(self, call: str, held: _Held) -> None:
        if self._calls.get(call) is not held:
            return
        del self._calls[call]
        self._journal.add(EntryKind.SERVER_RELEASED, self.server, call)
        bye = sip.encode_request("BYE", "peer", call, 2, {"Reason": "Q.850;cause=16"})
        # On its set-up's connection; where that is gone, on any that is open.
        for sock in [one for one in (held.sock, *self._socks) if one in self._socks][:1]:
            self._write(sock, bye)

    def _write(self, sock: socket.socket, data: bytes) -> None:
        with contextlib.suppress(OSError):
            sock.sendall(data)

    def die(self) -> None:
        """The process ends: its connections are reset, its calls cut."""
        self._journal.add(EntryKind.DIED, self.server)
        self._calls.clear()
        self.close()

    def close(self) -> None:
        """Listen no more."""
        self._accepting.kill()
        self._listener.close()
        for sock in self._socks:
            sock.close()
        self._socks.clear()
