"""A fake session server for SIP, whose handling of set-ups is drawn from a profile."""

from __future__ import annotations

import contextlib
import struct
import time
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
BACKLOG = 64  # connections that the system establishes before they are accepted
FILLERS = 2  # connections that fill a backlog of 0
REPEAT_DELAY_S = 0.02  # after a connection opened: closes of others that came before it are read by then
RELEASE_REPEATED_S = 10.0  # how long a release whose connection has closed is sent on each one opened
# SIP status and X-Why header of each Q.850 cause that a profile may name.
_STATUS = {42: (503, "acc"), 34: (503, "atb"), 17: (486, "sub"), 27: (480, ""), 38: (504, ""), 41: (500, "")}


@dataclass(slots=True)
class _Call:
    """A call at this server."""

    request: sip.Request
    sock: socket.socket
    sequence: str
    is_established: bool = False


@dataclass(frozen=True, slots=True)
class _Release:
    """A release that was sent, and when (Unix s)."""

    bye: bytes
    sock: socket.socket  # of its call's set-up
    sent_s: float


class SipServer:
    """Listens, handles set-ups by its profile, releases established calls, and can die."""

    def __init__(
        self,
        journal: Journal,
        server: str,
        profile: ServerProfile,
        seed: int,
        address: Address = ("127.0.0.1", 0),
    ) -> None:
        """Listen at this address; port 0: a free port."""
        self._journal, self.server, self.profile = journal, server, profile
        self._answer_count = 0
        self._random = Random(seed)
        self._calls: dict[str, _Call] = {}
        self._releases: list[_Release] = []  # the oldest first
        self._socks: list[socket.socket] = []
        self._serving: list[gevent.Greenlet[..., None]] = []
        self._lost: list[socket.socket] = []  # from before the machine's loss
        self._fillers: list[socket.socket] = []  # that fill the queue of a machine out of contact
        self._held: list[tuple[socket.socket, bytes]] | None = None  # written while it is cut off
        self._listen(address)

    def _listen(self, address: Address) -> None:
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(address)
        self._listener.listen(BACKLOG)
        self.address: Address = self._listener.getsockname()
        self._accepting = gevent.spawn(self._accept)

    @property
    def established_calls(self) -> int:
        """Count the established calls."""
        return sum(call_state.is_established for call_state in self._calls.values())

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            self._socks.append(sock)
            self._serving.append(gevent.spawn(self._serve, sock))
            gevent.spawn_later(REPEAT_DELAY_S, self._repeat_releases, sock)

    def _repeat_releases(self, sock: socket.socket) -> None:
        """Send the recent releases whose connection has closed: they may be lost with it."""
        since_s = time.time() - RELEASE_REPEATED_S
        self._releases = [release for release in self._releases if release.sent_s >= since_s]
        for release in self._releases:
            if release.sock not in self._socks:
                self._write(sock, release.bye)

    def _serve(self, sock: socket.socket) -> None:
        decoder: Decoder[sip.Request | sip.Response] = sip.Decoder()
        with contextlib.suppress(OSError):  # from sending a response after the peer has closed
            for message in messages(sock, decoder):
                self._handle_message(sock, message)
        if sock in self._socks:
            self._socks.remove(sock)
        sock.close()
        for call, call_state in list(self._calls.items()):
            if call_state.sock is sock and not call_state.is_established:
                self._journal.add(EntryKind.DROPPED, self.server, call)
                del self._calls[call]

    def _handle_message(self, sock: socket.socket, message: sip.Request | sip.Response) -> None:
        call = sip.call_of(message)
        if call is None or isinstance(message, sip.Response):
            return
        if message.method == "INVITE":
            self._handle_invite(sock, call, message)
        elif message.method == "CANCEL":
            call_state = self._calls.get(call)
            if call_state is not None and not call_state.is_established:
                self._journal.add(EntryKind.CANCELLED, self.server, call)
                del self._calls[call]
        elif message.method == "BYE":
            self._write(sock, sip.encode_response(message, 200, "OK"))
            if self._calls.pop(call, None) is not None:
                self._journal.add(EntryKind.RELEASE_RECEIVED, self.server, call)

    def _handle_invite(self, sock: socket.socket, call: str, request: sip.Request) -> None:
        self._journal.add(
            EntryKind.SET_UP,
            self.server,
            call,
            request.headers.get("x-call-class", ""),
            PROTOCOL,
            request.body,
            request.number,
        )
        call_state = self._calls[call] = _Call(request, sock, request.headers.get("cseq", ""))
        handling = self.profile.draw(self._random)
        if handling.behaviour not in (Behaviour.NO_ANSWER, Behaviour.IGNORE):
            gevent.spawn_later(handling.delay_ms / 1000.0, self._respond, call, call_state, handling)

    def _respond(self, call: str, call_state: _Call, handling: Handling) -> None:
        if self._calls.get(call) is not call_state:
            return
        if handling.behaviour is Behaviour.REFUSE:
            status, reason = _STATUS.get(handling.cause, (500, ""))
            del self._calls[call]
            self._journal.add(EntryKind.DECLINED, self.server, call)
            self._write(
                call_state.sock,
                self._response(call, call_state, status, f"X-Why: {reason}\r\n" if reason else "", b""),
            )
            return
        self._answer_count += 1  # makes each answer unique, so that answers can be told apart
        description = f"{self.server} {call} {self._answer_count} ".encode().ljust(
            self.profile.description_bytes, b"."
        )
        call_state.is_established = True
        is_malformed = handling.behaviour is Behaviour.MALFORMED
        if not is_malformed:
            self._journal.add(EntryKind.ANSWERED, self.server, call, description=description)
        else:
            self._journal.add(EntryKind.DECLINED, self.server, call)
            del self._calls[call]
        self._write(
            call_state.sock, self._response(call, call_state, 200, "", b"" if is_malformed else description)
        )
        if not is_malformed:
            gevent.spawn_later(handling.hold_ms / 1000.0, self._release, call, call_state)

    @staticmethod
    def _response(call: str, call_state: _Call, status: int, extra_headers: str, body: bytes) -> bytes:
        head = f"SIP/2.0 {status} X\r\nCall-ID: {call}\r\nCSeq: {call_state.sequence}\r\n{extra_headers}"
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body

    def _release(self, call: str, call_state: _Call) -> None:
        if self._calls.get(call) is not call_state:
            return
        del self._calls[call]
        self._journal.add(EntryKind.SERVER_RELEASED, self.server, call)
        bye = sip.encode_request("BYE", "peer", call, 2, {"Reason": "Q.850;cause=16"})
        # Where the set-up's connection is closed, on all: any of them may be another softswitch's.
        is_open = call_state.sock in self._socks
        for sock in [call_state.sock] if is_open else list(self._socks):
            self._write(sock, bye)
        self._releases.append(_Release(bye, call_state.sock, time.time()))

    def _write(self, sock: socket.socket, data: bytes) -> None:
        if self._held is not None:
            self._held.append((sock, data))
            return
        with contextlib.suppress(OSError):
            sock.sendall(data)

    def reset_connections(self) -> None:
        """Reset all connections and live on; established calls stay."""
        for sock in list(self._socks):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
            if sock in self._socks:
                self._socks.remove(sock)

    def refuse_connections(self) -> None:
        """Accept no further connection, as a server that drains or is full; calls and connections stay."""
        self._accepting.kill()
        self._listener.close()

    def accept_connections(self) -> None:
        """Accept connections again, at the same address."""
        self._listen(self.address)

    def close_connections(self) -> None:
        """Close all connections in order; calls stay."""
        for sock in self._socks:
            sock.shutdown(socket.SHUT_WR)

    def die(self) -> None:
        """End as a crashed process does: all connections close, all calls are lost."""
        self._journal.add(EntryKind.DIED, self.server)
        self._calls.clear()
        self._releases.clear()
        self.close()

    def lose_machine(self) -> None:
        """Vanish: all calls end, open connections stay open and silent, new ones are never established."""
        self._journal.add(EntryKind.DIED, self.server)
        self._calls.clear()
        self._releases.clear()
        self._stop_accepting_and_reading()
        self._lost, self._socks = self._socks, []

    def cut_off(self) -> None:
        """Lose contact and live on: connections are silent, calls go on, what is written is held back."""
        self._held = []
        self._stop_accepting_and_reading()

    def rejoin(self) -> None:
        """End a `cut_off`: what was held back is sent, and all connections are read again."""
        held, self._held = self._held or [], None
        for sock, data in held:
            self._write(sock, data)
        self._serving = [gevent.spawn(self._serve, sock) for sock in self._socks]
        for filler in self._fillers:
            filler.close()

    def _stop_accepting_and_reading(self) -> None:
        gevent.killall([self._accepting, *self._serving])
        self._listener.listen(0)
        self._fillers = [socket.socket() for _ in range(FILLERS)]
        for filler in self._fillers:
            filler.setblocking(False)
            filler.connect_ex(self.address)

    def return_cold(self) -> None:
        """Come back without calls and connections: one from before is reset by its first byte."""
        self._forget_connections()
        self._listener.listen(BACKLOG)
        self._accepting = gevent.spawn(self._accept)

    def return_without_process(self) -> None:
        """Let the machine come back with nothing that listens there: new connections are refused."""
        self._forget_connections()
        self._listener.close()

    def _forget_connections(self) -> None:
        for sock in self._lost:
            gevent.spawn(self._reset_on_data, sock)
        for filler in self._fillers:
            filler.close()

    @staticmethod
    def _reset_on_data(sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            sock.recv(1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._accepting.kill()
        self._listener.close()
        for sock in (*self._socks, *self._lost, *self._fillers):
            sock.close()
        self._socks.clear()
