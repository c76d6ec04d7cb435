"""Stand-ins of the platform for the cases of the review, and the softswitch as a process.

Callers, session servers and the coordinator speak the platform's protocol on loopback. Standard library only.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
CLASSES = ("open-form", "save-answers")
HEAD = struct.Struct(">HB8s")
PARAMETER = struct.Struct(">BH")
FRAME = struct.Struct(">IQB")
SERVER = struct.Struct(">IIHBBBHIQ")
STATES = {"in_service": 0, "terminating": 1, "terminated": 2}
SET_UP, ANSWER, RELEASE, RELEASE_HEARD, TEST, TEST_REPLY = 1, 9, 12, 16, 52, 53


def now_ms() -> float:
    """Return the Unix time in ms."""
    return time.time() * 1000.0


def settings() -> dict[str, Any]:
    """Return the settings of a small deployment, with the figures of the operators' pages."""
    services = [
        {"name": "open-form", "aimUs": 2_000_000, "deadlineUs": 9_000_000, "importance": 1.0,
         "lateWorth": 0.25, "effect": "free", "stream": True},
        {"name": "save-answers", "aimUs": 1_500_000, "deadlineUs": 9_000_000, "importance": 3.0,
         "lateWorth": 0.25, "effect": "free", "stream": True},
    ]  # fmt: skip
    return {
        "fleetSize": 6,
        "index": 0,
        "membershipMode": "push",
        "roundUs": 5_000,
        "services": services,
        "zones": ["amsterdam", "dublin"],
        "guarantees": {"answerSlackUs": 20_000, "coldShare": 0.34, "drainGraceUs": 250_000,
                       "fallMultiple": 2.0, "fallUs": 1_500_000, "warmAfterUs": 14_000_000},
        "limits": {"maxAttempts": 4, "mayCancel": True, "retryAfter": True, "maxRetryAfterUs": 2_000_000,
                   "dialTimeoutUs": 500_000, "connIdleUs": 600_000_000, "parallelTries": False},
        "specifics": {"guardUs": 300_000, "meanHoldUs": [9_000_000, 13_400_000],
                      "networkForm": "skills", "repeatUs": 0},
    }  # fmt: skip


class Record:
    """The record of what was sent, answered and run: `record.txt` in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        """Start an empty record."""
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_ms = now_ms()

    def add(self, party: str, text: str) -> None:
        """Add a line with the present time."""
        at = now_ms()
        self._file.write(f"{at:.0f} {at - self._began_ms:9.1f} ms  {party}: {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a free port below the range that the system gives to outgoing connections."""
    for _ in range(1000):
        port = 12_000 + int.from_bytes(os.urandom(2), "big") % 18_000
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError("no free port")


@dataclass(slots=True)
class Listed:
    """One session server in the coordinator's list."""

    server: str
    port: int
    cell: int
    state: str = "in_service"
    born_ms: int = 0

    def as_json(self) -> dict[str, Any]:
        """Return the entry in the form of `known`."""
        return {"host": self.server, "dial": f"127.0.0.1:{self.port}", "site": "amsterdam", "class": "std",
                "block": self.cell, "health": self.state, "share": 1, "born_ms": self.born_ms}  # fmt: skip

    def as_record(self) -> bytes:
        """Return the entry's 27 bytes."""
        address = int.from_bytes(socket.inet_aton("127.0.0.1"), "big")
        return SERVER.pack(int(self.server[2:], 16), address, self.port, STATES[self.state], 0, 0, self.cell,
                           1000, self.born_ms)  # fmt: skip


class Coordinator:
    """The coordinator: numbered events, each as a frame, and an empty frame each second."""

    def __init__(self, record: Record, listed: list[Listed]) -> None:
        """Start with the list as event 1."""
        self._record = record
        self.first = list(listed)
        self.events: list[tuple[int, bytes]] = [(1, b"".join(one.as_record() for one in listed))]
        self.port = free_port()
        self.path_delay_s = 0.0  # by which every byte towards a softswitch arrives later, in order
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    def known(self) -> dict[str, Any]:
        """Return `known`, as in the configuration at the start."""
        endpoints = {"seq": 1, "whole": True, "hosts": [one.as_json() for one in self.first]}
        return {"index": 1, "updates": [{"index": 1, "endpoints": endpoints}]}

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def announce(self, *listed: Listed) -> None:
        """Add an event with changes of these servers."""
        self.events.append((2, b"".join(one.as_record() for one in listed)))
        text = " ".join(f"{one.server}:{one.state}:born={one.born_ms}" for one in listed)
        self._record.add("coordinator", f"event {len(self.events)}: {text}")
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        try:
            index = int.from_bytes(await reader.readexactly(8), "big")
            self._record.add("coordinator", f"asked for what follows event {index}")
            while not writer.is_closing():
                if index < len(self.events):
                    index += 1
                    kind, payload = self.events[index - 1]
                    frame = FRAME.pack(9 + len(payload), index, kind) + payload
                else:
                    frame = FRAME.pack(9, 0, 0)
                loop.call_later(self.path_delay_s, self._write, writer, frame)
                if index < len(self.events):
                    continue
                async with self._changed:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), 1.0)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    @staticmethod
    def _write(writer: asyncio.StreamWriter, frame: bytes) -> None:
        if not writer.is_closing():
            writer.write(frame)


@dataclass(slots=True)
class ServerCall:
    """A set-up or a standing call at a session server."""

    call: str
    peer: Peer
    cseq: str
    at_ms: float
    stands: bool = False
    description: str = ""


class Peer:
    """One connection at a session server."""

    def __init__(self, server: SipServer, sock: socket.socket) -> None:
        """Take an accepted connection."""
        self.server, self.sock = server, sock
        self.buffer = b""
        self.is_open = True
        self.is_silent = False  # open, but nothing passes in either direction
        self.task: asyncio.Task[None] | None = None

    def fall_silent(self) -> None:
        """Let nothing pass any more, in either direction; the connection stays open."""
        self.is_silent = True
        if self.task is not None:
            self.task.cancel()

    def send(self, data: bytes) -> None:
        """Write a message."""
        if self.is_open and not self.is_silent:
            try:
                self.sock.send(data)
            except OSError:
                self.is_open = False

    async def read(self) -> None:
        """Read messages until the connection ends."""
        loop = asyncio.get_running_loop()
        while self.is_open:
            try:
                data = await loop.sock_recv(self.sock, 65536)
            except OSError:
                data = b""
            if not data:
                break
            self.buffer += data
            while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
                lines = self.buffer[:end].decode("latin-1").split("\r\n")
                headers = {name.strip().lower(): value.strip()
                           for name, _, value in (line.partition(":") for line in lines[1:])}  # fmt: skip
                stop = end + 4 + int(headers.get("content-length", "0"))
                if len(self.buffer) < stop:
                    break
                body, self.buffer = self.buffer[end + 4 : stop], self.buffer[stop:]
                self.server.on_message(self, lines[0], headers, body)
        self.server.on_closed(self)

    def reset(self) -> None:
        """End the connection with a reset."""
        if self.is_open:
            self.is_open = False
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if self.task is not None:
            self.task.cancel()
        self.sock.close()


class SipServer:
    """A session server: answers each set-up after a delay, holds the call, and releases it."""

    def __init__(self, record: Record, name: str, answer_s: float = 0.02, hold_s: float = 9.0) -> None:
        """Prepare; `start` listens."""
        self._record, self.name = record, name
        self.answer_s, self.hold_s = answer_s, hold_s
        self.port = free_port()
        self.calls: dict[str, ServerCall] = {}
        self.peers: list[Peer] = []
        self.set_ups: list[tuple[str, float]] = []  # call, time in ms
        self.released_ms: dict[str, float] = {}
        self.unheard: dict[str, bytes] = {}  # releases without a 200, sent again on the next connection
        self.answers = 0
        self.listener: socket.socket | None = None
        self._accepting: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen."""
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(1)
        self.accept()

    def stop(self) -> None:
        """End the process: its connections are reset, its calls cut, and a new connection is refused."""
        self.stop_accepting()
        if self.listener is not None:
            self.listener.close()
        self._record.add(self.name, f"its process ends, with {len(self.calls)} calls")
        self.calls.clear()
        for peer in list(self.peers):
            peer.reset()
        self.peers.clear()

    def accept(self) -> None:
        """Accept connections from now on."""
        self._accepting = asyncio.create_task(self._accept())

    def stop_accepting(self) -> None:
        """Accept no connections any more."""
        if self._accepting is not None:
            self._accepting.cancel()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        assert self.listener is not None
        while True:
            sock, _ = await loop.sock_accept(self.listener)
            sock.setblocking(False)
            peer = Peer(self, sock)
            self.peers.append(peer)
            peer.task = asyncio.create_task(peer.read())
            for call, bye in self.unheard.items():
                self._record.add(self.name, f"BYE sent on a new connection {call}")
                peer.send(bye)

    def on_closed(self, peer: Peer) -> None:
        """Give up the set-ups that were open on a connection that ended."""
        peer.is_open = False
        if peer in self.peers:
            self.peers.remove(peer)
        peer.sock.close()
        for one in [one for one in self.calls.values() if one.peer is peer and not one.stands]:
            self._record.add(self.name, f"given up with its connection: {one.call}")
            del self.calls[one.call]

    def on_message(self, peer: Peer, first: str, headers: dict[str, str], body: bytes) -> None:
        """Handle a message of the softswitch."""
        method, call, cseq = first.split(" ")[0], headers.get("call-id", ""), headers.get("cseq", "")
        if method == "INVITE":
            self._record.add(self.name, f"INVITE {call} {headers.get('x-call-class', '')} cseq={cseq}")
            self.set_ups.append((call, now_ms()))
            self.calls[call] = one = ServerCall(call, peer, cseq, now_ms())
            self.on_invite(one)
        elif method == "CANCEL":
            self._record.add(self.name, f"CANCEL {call}")
            self.on_cancel(call)
        elif method == "BYE":
            self._record.add(self.name, f"BYE {call}")
            head = f"SIP/2.0 200 OK\r\nCall-ID: {call}\r\nCSeq: {cseq}\r\n"
            peer.send(f"{head}Content-Length: 0\r\n\r\n".encode())
            self.calls.pop(call, None)
        elif method == "SIP/2.0" and cseq.endswith("BYE"):
            self.unheard.pop(call, None)

    def on_invite(self, one: ServerCall) -> None:
        """Answer a set-up after the usual time."""
        asyncio.get_running_loop().call_later(self.answer_s, self.answer, one)

    def on_cancel(self, call: str) -> None:
        """Drop a set-up that was given up."""
        one = self.calls.get(call)
        if one is not None and not one.stands:
            del self.calls[call]

    def answer(self, one: ServerCall) -> None:
        """Answer a set-up: the call stands."""
        if self.calls.get(one.call) is not one or not one.peer.is_open:
            return
        self.answers += 1
        one.stands, one.description = True, f"{self.name} {one.call} {self.answers}"
        self._record.add(self.name, f"200 {one.call}")
        head = f"SIP/2.0 200 OK\r\nCall-ID: {one.call}\r\nCSeq: {one.cseq}\r\n"
        one.peer.send(f"{head}Content-Length: {len(one.description)}\r\n\r\n{one.description}".encode())
        asyncio.get_running_loop().call_later(self.hold_s, self.release, one)

    def release(self, one: ServerCall) -> None:
        """Release a call that stands, on its connection or on any open one."""
        if self.calls.get(one.call) is not one:
            return
        del self.calls[one.call]
        self.released_ms[one.call] = now_ms()
        self._record.add(self.name, f"BYE sent {one.call}")
        bye = (f"BYE sip:x@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {one.call}\r\nCSeq: 2 BYE\r\n"
               "Reason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n").encode()  # fmt: skip
        self.unheard[one.call] = bye
        for peer in [one.peer, *self.peers]:
            if peer.is_open:
                peer.send(bye)
                return


@dataclass(slots=True)
class CallerCall:
    """A call as its caller sees it."""

    call: str
    sent_ms: float
    answers: list[str] = field(default_factory=list)
    final_ms: float = 0.0
    released_ms: float = 0.0
    done: asyncio.Event = field(default_factory=asyncio.Event)


class Caller:
    """A front end: places calls on one connection and hears how they end on it."""

    def __init__(self, record: Record, name: str, port: int) -> None:
        """Prepare; the first call opens the connection."""
        self._record, self.name, self.port = record, name, port
        self.calls: dict[str, CallerCall] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None

    async def connect(self) -> None:
        """Open the connection."""
        reader, self._writer = await asyncio.open_connection("127.0.0.1", self.port)
        self._reading = asyncio.create_task(self._read(reader))

    async def place(
        self, call: str, class_name: str = CLASSES[0], patience_ms: int = 3000, choice: int = -1
    ) -> CallerCall:
        """Send a set-up."""
        if self._writer is None or self._writer.is_closing():
            await self.connect()
        assert self._writer is not None
        number = f"31{int(call, 16) % 10**9:09d}"
        values = {
            3: class_name.encode(), 6: str(patience_ms).encode(), 15: number.encode(),
            18: f"dest:{choice};width:1;via:-1".encode(), 48: f"caller {call}".encode(),
        }  # fmt: skip
        self.calls[call] = one = CallerCall(call, now_ms())
        self._writer.write(message(SET_UP, call, values))
        self._record.add(self.name, f"set-up {call} {class_name} patience={patience_ms} choice={choice}")
        return one

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                (length,) = struct.unpack(">H", await reader.readexactly(2))
                data = await reader.readexactly(length)
                self._on_message(data[0], data[1:9].hex(), read_parameters(data[9:]))
        except (OSError, asyncio.IncompleteReadError):
            self._record.add(self.name, "the connection has ended")
            if self._writer is not None:
                self._writer.close()
            self._writer = None

    def _on_message(self, kind: int, call: str, values: dict[int, bytes]) -> None:
        one = self.calls.get(call)
        if one is None or kind not in (ANSWER, RELEASE):
            return
        if kind == ANSWER:
            text = "answer " + values.get(48, b"").decode("latin-1")
        else:
            text = f"release cause={values.get(45, b'?')[0]}"
        self._record.add(self.name, f"{text} for {call}")
        if kind == RELEASE and one.answers and one.answers[0].startswith("answer"):
            one.released_ms = one.released_ms or now_ms()
            assert self._writer is not None
            self._writer.write(message(RELEASE_HEARD, call, {}))
            return
        one.answers.append(text)
        one.final_ms = one.final_ms or now_ms()
        one.done.set()

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        if self._reading is not None:
            self._reading.cancel()


def message(kind: int, call: str, values: dict[int, bytes]) -> bytes:
    """Return a binary message."""
    parameters = b"".join(PARAMETER.pack(code, len(value)) + value for code, value in values.items())
    return HEAD.pack(9 + len(parameters), kind, bytes.fromhex(call)) + parameters


def read_parameters(data: bytes) -> dict[int, bytes]:
    """Return the parameters of a binary message by code."""
    values = {}
    while data:
        code, length = PARAMETER.unpack_from(data)
        values[code], data = data[3 : 3 + length], data[3 + length :]
    return values


async def ask_ready(port: int) -> bool:
    """Send a test to a softswitch, as the front does; return whether it passed."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(message(TEST, "00000000000000ff", {45: b"\0"}))
        (length,) = struct.unpack(">H", await asyncio.wait_for(reader.readexactly(2), 1.0))
        data = await reader.readexactly(length)
        writer.close()
        return data[0] == TEST_REPLY and read_parameters(data[9:]).get(45) == b"\1"
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return False


class Softswitch:
    """One softswitch, started by the command `run` of the deploy file."""

    def __init__(self, record: Record, name: str, coordinator: Coordinator, given: dict[str, Any]) -> None:
        """Write its configuration into a temporary folder of its own."""
        self._record, self.name = record, name
        self.port, self.management = free_port(), free_port()
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.process: subprocess.Popen[bytes] | None = None
        self.environment: dict[str, str] = {}
        self.config = {
            "name": name, "listen": f"127.0.0.1:{self.port}", "seed": os.urandom(8).hex(),
            "management": f"127.0.0.1:{self.management}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "coordinator": f"127.0.0.1:{coordinator.port}", "known": coordinator.known(), "settings": given,
        }  # fmt: skip

    async def start(self) -> None:
        """Start the process and wait until it passes a test."""
        folder = Path(self.folder.name)
        (folder / "config.json").write_text(json.dumps(self.config))
        (folder / "tmp").mkdir(exist_ok=True)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with (folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env={**os.environ, "BALANCER_NAME": self.name, "BALANCER_LISTEN": f"127.0.0.1:{self.port}",
                     "BALANCER_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder / "tmp"),
                     **self.environment},
                stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            )  # fmt: skip
        self._record.add(self.name, f"started as process {self.process.pid}")
        for _ in range(300):
            if await ask_ready(self.port):
                self._record.add(self.name, "passed its test")
                return
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        raise RuntimeError("the softswitch did not start: " + self.log()[-1000:])

    def log(self) -> str:
        """Return its log so far."""
        return (Path(self.folder.name) / "log").read_text(errors="replace")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self._record.add(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self) -> None:
        """End the process, and remove its folder."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait(10)
        for line in self.log().splitlines():
            if "event=counters" not in line:
                self._record.add(self.name + " log", line)
        self.folder.cleanup()


def main(folder: Path, play: Callable[[Record, bool], Coroutine[Any, Any, list[str]]], limit_s: float) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # so that the processes that were started end too
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.add("case", f"begins, {'with' if has_trouble else 'without'} the disruption")
    try:
        broken = asyncio.run(asyncio.wait_for(play(record, has_trouble), limit_s))
    except Exception as error:
        record.add("case", f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        return 2
    for line in broken:
        record.add("BROKEN", line)
        print(f"BROKEN: {line}")
    record.add("case", f"ends: {len(broken)} breaks of the rule")
    print(f"{len(broken)} breaks of the rule")
    record.close()
    return 1 if broken else 0


async def place_steadily(
    caller: Caller, seed: int, first: int, count: int, per_s: float, choices: int = 2
) -> None:
    """Place `count` calls with ids that begin with the seed, at an even pace, each with a first choice."""
    for number in range(first, first + count):
        await caller.place(call_id(seed, number), choice=number % choices)
        await asyncio.sleep(1.0 / per_s)


def call_id(seed: int, number: int) -> str:
    """Return the id of a call."""
    return f"{seed:08x}{number:08x}"


def draw_seed() -> int:
    """Return a new beginning for ids; no id is used twice."""
    return int.from_bytes(os.urandom(4), "big")


def late_releases(caller: Caller, ended_ms: dict[str, float], limit_ms: float) -> list[str]:
    """Return the calls that stood at the caller and were not released towards it in time after their end."""
    found = []
    for call, at_ms in ended_ms.items():
        one = caller.calls[call]
        stood = bool(one.answers) and one.answers[0].startswith("answer")
        took_ms = (one.released_ms or now_ms()) - at_ms
        if stood and took_ms > limit_ms:
            took = f"after {took_ms:.0f} ms" if one.released_ms else f"not within {took_ms:.0f} ms"
            found.append(f"{call} was released towards its caller {took}; {limit_ms:.0f} ms are allowed")
    return found
