"""Stand-ins and helpers for the cases of the second review; the standard library alone.

A case starts the softswitch with the command `run` of the deploy file, as a process of its own. The caller,
the session servers, the coordinator and the proxy run in the process of the case, on loopback and the real
clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
SLACK_MS = 50.0  # "every time limit is 50 ms longer"
RELEASE_MS = 1_000.0  # from a server's release to its caller's
END_MS = 8_000.0  # from a call's end to the caller's release, where no release could be sent
FILLERS = 3  # connections that fill a queue of none
REFUSED_CAUSES = (34, 42, 102)
SETTINGS: dict[str, object] = {
    "callers": {"marksRetry": False},
    "domainType": "trunks",
    "fleetSize": 6,
    "guarantees": {
        "answerSlackUs": 20_000,
        "coldShare": 0.34,
        "drainGraceUs": 250_000,
        "fallMultiple": 2.0,
        "fallUs": 1_500_000,
        "warmAfterUs": 14_000_000,
    },
    "hostTypes": ["std-1c"],
    "index": 0,
    "limits": {
        "connIdleUs": 600_000_000,
        "dialTimeoutUs": 500_000,
        "maxAttempts": 4,
        "maxRetryAfterUs": 2_000_000,
        "mayCancel": True,
        "multiplex": 1_048_576,
        "openCap": 20_000,
        "parallelTries": False,
        "peers": False,
        "probes": False,
        "retryAfter": True,
    },
    "membershipMode": "push",
    "myZone": 0,
    "prices": {"handshake": 0.0},
    "report": {"fields": ["idle", "circuits"], "via": "probe"},
    "roundUs": 5_000,
    "services": [
        {
            "name": "open-form",
            "aimUs": 2_000_000,
            "deadlineUs": 9_000_000,
            "importance": 1.0,
            "lateWorth": 0.25,
            "effect": "free",
            "keyScope": "all",
            "stream": True,
            "windowUs": 5_000_000,
        },
        {
            "name": "save-answers",
            "aimUs": 1_500_000,
            "deadlineUs": 9_000_000,
            "importance": 3.0,
            "lateWorth": 0.25,
            "effect": "free",
            "keyScope": "all",
            "stream": True,
            "windowUs": 5_000_000,
        },
    ],
    "specifics": {
        "channelsNeeded": [1, 1],
        "farReports": "none",
        "guardUs": 300_000,
        "here": -1,
        "meanHoldUs": [9_000_000, 13_400_000],
        "networkForm": "skills",
        "repeatUs": 0,
        "retryHint": False,
        "routeAdvice": False,
    },
    "tier": 0,
    "tiers": ["session-servers"],
    "weights": "none",
    "worthBy": "request",
    "zones": ["amsterdam", "dublin"],
}


class CaseError(Exception):
    """The case could not run as it is meant to."""


def now_ms() -> float:
    """The system's Unix clock in ms."""
    return time.time() * 1000.0


def free_address() -> tuple[str, int]:
    """Return a loopback address that is free now."""
    chooser = random.SystemRandom()
    while True:
        address = "127.0.0.1", chooser.randrange(12_000, 32_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(address)
            return address


@dataclass(frozen=True, slots=True)
class Entry:
    """One line of the record."""

    at_ms: float
    who: str
    what: str
    call: str
    detail: str


class Record:
    """What was sent, answered and run, in the order in which the stand-ins saw it."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: list[Entry] = []
        self.began_ms = now_ms()

    def add(self, who: str, what: str, call: str = "", detail: str = "") -> Entry:
        """Add a line with the present time."""
        entry = Entry(now_ms(), who, what, call, detail)
        self.entries.append(entry)
        return entry

    def find(self, what: str, call: str | None = None, who: str | None = None) -> list[Entry]:
        """Return the lines of this kind."""
        return [
            entry
            for entry in self.entries
            if entry.what == what and call in (None, entry.call) and who in (None, entry.who)
        ]

    def write(self, path: Path, verdict: list[str]) -> None:
        """Write all lines, and what was judged."""
        lines = [
            f"{entry.at_ms - self.began_ms:10.1f} ms  {entry.who:12} {entry.what:16} {entry.call:16} "
            f"{entry.detail}"
            for entry in self.entries
        ]
        path.write_text("\n".join([*lines, *verdict]) + "\n", encoding="utf-8")


# The session server.


@dataclass(slots=True)
class SipMessage:
    """A SIP message that the softswitch sent."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start.split(" ", 1)[0]

    @property
    def call(self) -> str:
        """The call's id."""
        return self.headers.get("call-id", "")


async def read_sip(reader: asyncio.StreamReader) -> SipMessage:
    """Read one message; raises IncompleteReadError at the end of the stream."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.strip("\r\n").split("\r\n")
    headers = {
        name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)
    }
    return SipMessage(start, headers, await reader.readexactly(int(headers["content-length"])))


@dataclass(slots=True)
class ServerCall:
    """A set-up at a session server, and the call that it became."""

    invite: SipMessage
    connection: SipConnection
    attempt: int  # of this call at this server, counted from 1
    stands: bool = False
    over: bool = False

    @property
    def call(self) -> str:
        """The call's id."""
        return self.invite.call


class SipConnection:
    """One connection from the softswitch."""

    def __init__(self, server: SipServer, number: int, writer: asyncio.StreamWriter) -> None:
        """Take an accepted connection."""
        self.server, self.number, self.writer = server, number, writer
        self.port: int = writer.get_extra_info("peername")[1]

    @property
    def is_open(self) -> bool:
        """Has neither side closed it?"""
        return not self.writer.is_closing()

    def send(self, data: bytes) -> None:
        """Write bytes, unless the connection has ended."""
        if self.is_open:
            self.writer.write(data)


class SipServer:
    """A session server as the pages describe it; `on_set_up` decides how each set-up is handled.

    What concerns a call goes on the connection of its set-up, otherwise on any open one; a release goes on
    the next connection that is opened, too. A connection's end gives up the set-ups that are open on it."""

    def __init__(
        self,
        record: Record,
        name: str,
        cell: int,
        on_set_up: Callable[[SipServer, ServerCall], Awaitable[None]],
    ) -> None:
        """Prepare; `start` opens the listening socket."""
        self.record, self.name, self.cell, self._on_set_up = record, name, cell, on_set_up
        self.address = ("", 0)
        self.dial_address = ("", 0)  # as the pool list gives it: a proxy's, where there is one
        self.calls: dict[str, list[ServerCall]] = {}
        self.connections: list[SipConnection] = []
        self._unsent_releases: list[tuple[str, bytes]] = []  # for the next connection
        self._tasks: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count(1)
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self.dial_address = self._listener.sockets[0].getsockname()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = SipConnection(self, next(self._numbers), writer)
        self.connections.append(connection)
        self.record.add(self.name, "connected", detail=f"connection={connection.number}")
        for call, bye in self._unsent_releases:
            self.record.add(self.name, "release again", call, f"connection={connection.number}")
            connection.send(bye)
        self._unsent_releases.clear()
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                self._on_message(connection, await read_sip(reader))
        self.record.add(self.name, "disconnected", detail=f"connection={connection.number}")
        self.connections.remove(connection)
        writer.close()
        for calls in self.calls.values():
            for one in calls:
                if one.connection is connection and not one.stands and not one.over:
                    one.over = True
                    self.record.add(
                        self.name, "given up", one.call, f"attempt={one.attempt} connection ended"
                    )

    def _on_message(self, connection: SipConnection, message: SipMessage) -> None:
        if message.method == "INVITE":
            before = self.calls.setdefault(message.call, [])
            one = ServerCall(message, connection, len(before) + 1)
            before.append(one)
            detail = f"attempt={one.attempt} CSeq={message.headers['cseq']} connection={connection.number}"
            self.record.add(self.name, "set-up", one.call, detail)
            self._keep(asyncio.create_task(self._on_set_up(self, one)))
        elif message.method == "CANCEL":
            self._answer_request(connection, message)
            self.record.add(self.name, "cancel", message.call, f"CSeq={message.headers['cseq']}")
            for one in self.calls.get(message.call, ()):
                if not one.stands:
                    one.over = True
        elif message.method == "BYE":
            self._answer_request(connection, message)
            self.record.add(self.name, "released", message.call, message.headers.get("reason", ""))
            for one in self.calls.get(message.call, ()):
                one.over = True

    def _answer_request(self, connection: SipConnection, message: SipMessage) -> None:
        connection.send(
            f"SIP/2.0 200 OK\r\nCall-ID: {message.call}\r\nCSeq: {message.headers['cseq']}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )

    def _keep(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def response(
        self, one: ServerCall, status: str, body: bytes, why: str = "", length: int | None = None
    ) -> bytes:
        """Return a final answer to a set-up; `length`: a Content-Length that does not fit."""
        note = f"X-Why: {why}\r\n" if why else ""
        return (
            f"SIP/2.0 {status}\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {one.call}\r\n"
            f"CSeq: {one.invite.headers['cseq']}\r\n{note}"
            f"Content-Length: {len(body) if length is None else length}\r\n\r\n"
        ).encode() + body

    def description(self, one: ServerCall) -> bytes:
        """Return the description that this server makes for a call, in the form of the protocol page."""
        port = 20_000 + int(one.call[-4:], 16) % 20_000
        return (
            f"{one.call}\r\nc=IN IP4 127.4.7.{1 + self.cell}\r\nm=audio {port} RTP/AVP 0 8 101\r\n".encode()
        )

    def answer(self, one: ServerCall, length: int | None = None) -> None:
        """Answer a set-up: the call stands."""
        if one.over:
            return
        one.stands = True
        body = self.description(one)
        spoilt = "" if length is None else f" Content-Length={length} of {len(body)}"
        self.record.add(self.name, "answered", one.call, f"attempt={one.attempt}{spoilt} {body!r}")
        self._send(one, self.response(one, "200 OK", body, length=length))

    def refuse(self, one: ServerCall, status: str, why: str = "") -> None:
        """Turn a set-up away."""
        if one.over:
            return
        one.over = True
        self.record.add(self.name, "turned away", one.call, f"attempt={one.attempt} {status} {why}")
        self._send(one, self.response(one, status, b"", why))

    def release(self, one: ServerCall, cause: int = 16) -> None:
        """Release a call that has come to its end."""
        if one.over:
            return
        one.over = True
        bye = (
            f"BYE sip:peer@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {one.call}\r\nCSeq: 2 BYE\r\n"
            f"Reason: Q.850;cause={cause}\r\nContent-Length: 0\r\n\r\n"
        ).encode()
        connection = self._connection_for(one)
        number = connection.number if connection else 0
        self.record.add(self.name, "release", one.call, f"cause={cause} connection={number}")
        self._send(one, bye)
        self._unsent_releases.append((one.call, bye))

    def _connection_for(self, one: ServerCall) -> SipConnection | None:
        if one.connection.is_open and one.connection in self.connections:
            return one.connection
        return next((connection for connection in self.connections if connection.is_open), None)

    def _send(self, one: ServerCall, data: bytes) -> None:
        connection = self._connection_for(one)
        if connection is not None:
            connection.send(data)

    def lose_calls(self) -> list[str]:
        """End all calls without a word, as the loss of the machine does; return those that stood."""
        stood = [
            call for call, attempts in self.calls.items() if attempts[-1].stands and not attempts[-1].over
        ]
        for attempts in self.calls.values():
            for one in attempts:
                one.over = True
        self._unsent_releases.clear()
        self.record.add(self.name, "lost", detail=f"calls that stood={len(stood)}")
        return stood

    def accept_no_more(self) -> None:
        """Hold as many connections as the server accepts: further ones are refused."""
        assert self._listener is not None
        self._listener.close()
        self.record.add(self.name, "accepts no more")

    async def accept_again(self) -> None:
        """Accept connections again, at the same address."""
        self._listener = await asyncio.start_server(self._serve, *self.address)
        self.record.add(self.name, "accepts again")

    async def close(self) -> None:
        """End the server."""
        if self._listener is not None:
            self._listener.close()
        for task in list(self._tasks):
            task.cancel()
        for connection in list(self.connections):
            connection.writer.close()


# A proxy before a session server.


@dataclass(slots=True)
class Pipe:
    """One connection through the proxy."""

    port: int  # of the proxy towards the server
    is_silent: bool = False  # stays open; no byte passes any more, in either direction
    is_forgotten: bool = False  # the machine is back without it: the next byte resets it
    delay_s: float = 0.0  # for which what the server sends is late
    due_s: float = 0.0  # when the last of it is passed on: bytes keep their order
    to_softswitch: asyncio.StreamWriter | None = None
    to_server: asyncio.StreamWriter | None = None


class Proxy:
    """Passes connections to a session server on; it can delay one connection, or let it fall silent."""

    def __init__(self, server: SipServer) -> None:
        """Prepare; `start` opens the listening socket, which the pool list names in the server's place."""
        self._server = server
        self.pipes: list[Pipe] = []
        self._listener: asyncio.Server | None = None
        self._full: socket.socket | None = None  # listens, with a queue that is full
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._server.dial_address = self._listener.sockets[0].getsockname()

    def pipe_of(self, connection: SipConnection) -> Pipe:
        """Return the pipe that leads to a connection of the server."""
        return next(pipe for pipe in self.pipes if pipe.port == connection.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far_reader, far_writer = await asyncio.open_connection(*self._server.address)
        pipe = Pipe(far_writer.get_extra_info("sockname")[1], to_softswitch=writer, to_server=far_writer)
        self.pipes.append(pipe)
        back = asyncio.create_task(self._pass_back(pipe, far_reader, writer))
        self._tasks.add(back)
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                if pipe.is_forgotten:
                    linger = struct.pack("ii", 1, 0)
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    writer.transport.abort()
                elif not pipe.is_silent:
                    far_writer.write(data)
        if not pipe.is_silent:
            far_writer.close()

    async def _pass_back(
        self, pipe: Pipe, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                if pipe.is_silent:
                    continue
                loop = asyncio.get_running_loop()
                pipe.due_s = max(loop.time() + pipe.delay_s, pipe.due_s)
                if pipe.due_s > loop.time():
                    loop.call_at(pipe.due_s, self._write_late, writer, data)
                else:
                    writer.write(data)
        if not pipe.is_silent:
            writer.close()

    def lose_machine(self) -> None:
        """Let the server's machine vanish: connections stay open and silent, new ones never come up."""
        for pipe in self.pipes:
            pipe.is_silent = True
        assert self._listener is not None
        self._listener.close()
        self._full = socket.socket()
        self._full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._full.bind(self._server.dial_address)
        self._full.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._server.dial_address)
            self._fillers.append(filler)

    def return_machine(self) -> None:
        """Let the machine come back: nothing listens there, so that connections are refused."""
        for pipe in self.pipes:
            pipe.is_forgotten = True
        for sock in (self._full, *self._fillers):
            if sock is not None:
                sock.close()

    @staticmethod
    def _write_late(writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.is_closing():
            writer.write(data)

    async def close(self) -> None:
        """End the proxy."""
        if self._listener is not None:
            self._listener.close()
        for task in self._tasks:
            task.cancel()
        for pipe in self.pipes:
            for writer in (pipe.to_softswitch, pipe.to_server):
                if writer is not None:
                    writer.close()
        await asyncio.sleep(0.05)


# The coordinator.


class Coordinator:
    """Tells the events that follow the first list, and an empty frame each second."""

    def __init__(self, record: Record, servers: list[SipServer]) -> None:
        """Take the servers of the first list."""
        self._record, self._servers = record, servers
        self.first_frame_s = 0.0  # from a connection to its first frame: a crowded coordinator's
        self._events: list[bytes] = []  # from number 2 on
        self._writers: list[asyncio.StreamWriter] = []
        self._listener: asyncio.Server | None = None
        self.address = ("", 0)

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._listener.sockets[0].getsockname()

    def known(self) -> dict[str, object]:
        """Return the events of the start, as the configuration has them."""
        hosts = [
            {
                "host": server.name,
                "dial": "{}:{}".format(*server.dial_address),
                "site": "amsterdam",
                "class": "std-1c",
                "block": server.cell,
                "health": "in_service",
                "share": 1,
                "born_ms": 0,
            }
            for server in self._servers
        ]
        return {"index": 1, "updates": [{"index": 1, "endpoints": {"seq": 1, "whole": True, "hosts": hosts}}]}

    def announce(self, server: SipServer, state: int) -> None:
        """Put a change of a server's state into the coordinator: 0 ready, 1 draining, 2 gone."""
        host, port = server.dial_address
        identity = int(server.name[2:], 16), int.from_bytes(socket.inet_aton(host), "big"), port
        record = struct.pack(">IIHBBBHIQ", *identity, state, 0, 0, server.cell, 1000, 0)
        self._events.append(record)
        self._record.add("coordinator", "told", detail=f"{server.name} state={state}")
        for writer in self._writers:
            self._write(writer, len(self._events) + 1, 2, record)

    @staticmethod
    def _write(writer: asyncio.StreamWriter, number: int, kind: int, payload: bytes) -> None:
        if not writer.is_closing():
            writer.write(struct.pack(">IQB", 9 + len(payload), number, kind) + payload)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            index = int.from_bytes(await reader.readexactly(8), "big")
            self._record.add("coordinator", "asked", detail=f"after event {index}")
            await asyncio.sleep(self.first_frame_s)
            for number, payload in enumerate(self._events, 2):
                if number > index:
                    self._write(writer, number, 2, payload)
            self._writers.append(writer)
            while not writer.is_closing():
                self._write(writer, 0, 0, b"")
                await asyncio.sleep(1.0)
        writer.close()

    async def close(self) -> None:
        """End the coordinator."""
        if self._listener is not None:
            self._listener.close()
        for writer in self._writers:
            writer.close()


# The caller.

SET_UP, ANSWER, RELEASE, HEARD, TEST, TEST_REPLY = 1, 9, 12, 16, 52, 53


def encode(kind: int, call: str, parameters: dict[int, bytes] | None = None) -> bytes:
    """Encode one binary message."""
    parts = b"".join(
        struct.pack(">BH", code, len(value)) + value for code, value in (parameters or {}).items()
    )
    return struct.pack(">HB", 9 + len(parts), kind) + bytes.fromhex(call) + parts


class Caller:
    """A caller with one connection, on which it places all its calls."""

    def __init__(self, record: Record, address: tuple[str, int]) -> None:
        """Prepare; `connect` opens the connection."""
        self.record, self._address = record, address
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None
        self._numbers = itertools.count(1)
        self.answers: dict[str, bytes] = {}  # descriptions, by call

    async def connect(self) -> None:
        """Open the connection, and read from it."""
        reader, self._writer = await asyncio.open_connection(*self._address)
        self._task = asyncio.create_task(self._read(reader))

    def place(self, first_choice: int, patience_ms: int = 3_000, class_name: str = "open-form") -> str:
        """Send a set-up and return its id."""
        number = next(self._numbers)
        call = f"{0x9B1F03AA00000000 + number * 0x9E3779B1 % 0x100000000:016x}"
        parameters = {
            3: class_name.encode(),
            6: str(patience_ms).encode(),
            15: f"7f3a9c21{number:08x}".encode(),
            18: f"dest:{first_choice};width:1;via:-1".encode(),
            48: f"{call}\r\nc=IN IP4 127.9.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n".encode(),
        }
        self.record.add("caller", "set-up", call, f"{class_name} dest={first_choice} patience={patience_ms}")
        self._write(encode(SET_UP, call, parameters))
        return call

    def release(self, call: str) -> None:
        """Release a call that stands."""
        self.record.add("caller", "release", call)
        self._write(encode(RELEASE, call, {45: bytes([16])}))

    def _write(self, data: bytes) -> None:
        assert self._writer is not None
        self._writer.write(data)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                (length,) = struct.unpack(">H", await reader.readexactly(2))
                self._on_message(await reader.readexactly(length))
        self.record.add("caller", "disconnected")

    def _on_message(self, message: bytes) -> None:
        kind, call, parameters, offset = message[0], message[1:9].hex(), dict[int, bytes](), 9
        while offset < len(message):
            code, length = struct.unpack_from(">BH", message, offset)
            parameters[code] = message[offset + 3 : offset + 3 + length]
            offset += 3 + length
        if kind == ANSWER:
            self.answers[call] = parameters.get(48, b"")
            self.record.add("caller", "stands", call, repr(self.answers[call]))
        elif kind == RELEASE:
            cause = parameters.get(45, b"\0")[0]
            refusal = "refused" if cause in REFUSED_CAUSES else "failed"
            what = "over" if call in self.answers else refusal
            self.record.add("caller", what, call, f"cause={cause}")
            self._write(encode(HEARD, call))

    async def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        if self._task is not None:
            self._task.cancel()


# The softswitch.


class Softswitch:
    """One softswitch: a process that `run` of the deploy file starts."""

    def __init__(self, record: Record, folder: Path, coordinator: Coordinator) -> None:
        """Prepare its configuration; `start` starts the process."""
        self._record, self._folder, self._coordinator = record, folder, coordinator
        self.listen = free_address()
        self.management = free_address()
        self.process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Start the process, and wait until it passes a test."""
        config = {
            "name": "n1",
            "listen": "{}:{}".format(*self.listen),
            "management": "{}:{}".format(*self.management),
            "seed": f"{random.SystemRandom().randrange(1 << 64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "coordinator": "{}:{}".format(*self._coordinator.address),
            "known": self._coordinator.known(),
            "settings": SETTINGS,
        }
        path = self._folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        temporary = self._folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            **os.environ,
            "BALANCER_NAME": "n1",
            "BALANCER_LISTEN": config["listen"],
            "BALANCER_CONFIG": str(path),
            "TMPDIR": str(temporary),
        }
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        with (self._folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        deadline_ms = now_ms() + 20_000
        while now_ms() < deadline_ms:
            if self.process.poll() is not None:
                raise CaseError(f"the softswitch ended with {self.process.returncode}: {self.log()[-600:]}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                if await asyncio.wait_for(self._passes_test(), 1.0):
                    self._record.add("softswitch", "ready")
                    return
            await asyncio.sleep(0.05)
        raise CaseError("the softswitch was not ready in 20 s")

    async def _passes_test(self) -> bool:
        reader, writer = await asyncio.open_connection(*self.listen)
        try:
            writer.write(encode(TEST, "0" * 15 + "1", {45: b"\0"}))
            (length,) = struct.unpack(">H", await reader.readexactly(2))
            message = await reader.readexactly(length)
            return message[0] == TEST_REPLY and message[-1] == 1
        finally:
            writer.close()

    def log(self) -> str:
        """Return what the process has logged."""
        return (self._folder / "log").read_text(encoding="utf-8", errors="replace")

    def close(self) -> None:
        """End the process, by its id."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


async def sleep_until(at_ms: float) -> None:
    """Sleep until this time of the Unix clock."""
    await asyncio.sleep(max(at_ms - now_ms(), 0.0) / 1000.0)


async def _play_within(played: Awaitable[tuple[int, list[str]]], most_s: float) -> tuple[int, list[str]]:
    task = asyncio.ensure_future(asyncio.wait_for(played, most_s))
    for number in (signal.SIGTERM, signal.SIGINT):
        # Guards against a softswitch that goes on after its case was ended from outside.
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        raise CaseError("ended from outside") from None
    finally:
        await asyncio.sleep(0.1)  # for the connections that have just been closed


def main(folder: Path, play: Callable[[Record, Path], Awaitable[tuple[int, list[str]]]]) -> None:
    """Play a case, write its record and exit with its verdict."""
    record = Record()
    record.add("case", "begins", detail=f"TROUBLE={int(TROUBLE)}")
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        try:
            code, verdict = asyncio.run(_play_within(play(record, Path(temporary)), 110.0))
        except Exception as error:
            code, verdict = NOT_RUN, [f"the case could not run: {type(error).__name__}: {error}"]
        log = Path(temporary) / "log"
        if log.exists():
            verdict = [
                *verdict,
                "",
                "the softswitch's log:",
                log.read_text(encoding="utf-8", errors="replace"),
            ]
    record.write(folder / "record.txt", ["", *verdict])
    print("\n".join(verdict[:6]))
    sys.exit(code)
