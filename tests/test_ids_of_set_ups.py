"""No set-up runs twice, or begins after its client has left, in one process or in both of an upgrade."""

from __future__ import annotations

import re
import signal
import socket
import subprocess
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from pearloom.fakes.testbed import free_port
from tests.player import encode
from tests.test_program import BASE_CONFIG, await_line, end_processes, start

__all__ = ["end_processes"]
CALL = "9b1f03aa5c7e2d41"
HALF_BYTES = 30  # of a set-up; while it is partly sent, an upgrade leaves its connection open
LEFT_MS = 100.0  # after a client has left, when no set-up of it may begin any more
REPLY_TIMEOUT_S = 5.0
INVITE = re.compile(rb"INVITE [^\r]*\r\nVia: [^\r]*\r\nCall-ID: ([0-9a-f]{16})\r\nCSeq: 1 INVITE")


class Server:
    """A session server that records when each set-up came, and replies to that of CALL."""

    def __init__(self, reply: str) -> None:
        self.reply = reply
        self.invites: list[tuple[str, float]] = []  # id, seconds
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self._socks: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self._socks.append(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        received = b""
        while data := self._receive(sock):
            received += data
            for match in INVITE.finditer(received):
                self.invites.append((match[1].decode(), time.monotonic()))
                if self.reply and match[1].decode() == CALL:
                    head = f"SIP/2.0 {self.reply}\r\nCall-ID: {match[1].decode()}\r\nCSeq: 1 INVITE\r\n"
                    sock.sendall(f"{head}Content-Length: 1\r\n\r\nx".encode())
            received = INVITE.sub(b"", received)

    @staticmethod
    def _receive(sock: socket.socket) -> bytes:
        try:
            return sock.recv(65536)
        except OSError:
            return b""

    def count(self, call: str = CALL) -> int:
        """How many set-ups of this call came."""
        return sum(one == call for one, _ in self.invites)

    def await_invite(self, call: str = CALL) -> None:
        """Wait for the first INVITE of this call."""
        until_s = time.monotonic() + REPLY_TIMEOUT_S
        while not self.count(call):
            assert time.monotonic() < until_s, f"no INVITE of {call}"
            time.sleep(0.002)

    def close(self) -> None:
        """Close all sockets."""
        for sock in (self._listener, *self._socks):
            sock.close()


class Installation:
    """Processes of one softswitch, the later ones started as its upgrades, and a session server."""

    def __init__(self, folder: Path, reply: str) -> None:
        self.server = Server(reply)
        self.address = ("127.0.0.1", free_port())
        hosts = [
            {"host": "s-00000001", "dial": f"127.0.0.1:{self.server.port}", "health": "in_service"},
        ]
        known = {"index": 1, "updates": [{"index": 1, "endpoints": {"whole": True, "hosts": hosts}}]}
        self._folder = folder
        self._config = {**BASE_CONFIG, "listen": f"127.0.0.1:{self.address[1]}", "known": known}

    def start(self) -> subprocess.Popen[str]:
        """Start a process, and wait until it serves."""
        process = start(self._folder, self._config, TMPDIR=str(self._folder))
        await_line(process, "started")
        return process

    def connect(self) -> socket.socket:
        """Connect as a client."""
        return socket.create_connection(self.address, timeout=REPLY_TIMEOUT_S)

    def close(self) -> None:
        """Close the server; the processes are ended by their fixture."""
        self.server.close()


@pytest.fixture
def installation(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[Installation]:
    """Serve with a session server that sends the parametrized reply; without one it sends none."""
    opened = Installation(tmp_path, getattr(request, "param", ""))
    yield opened
    opened.close()


def set_up(call: str = CALL) -> bytes:
    return encode(f'(01 {call} 03("open-form") 06("3000") 0f("1") 12("dest:0"))')


def reply_type(client: socket.socket) -> int:
    """The type of the next message to this client."""
    return client.recv(1000)[2]


ENDED = pytest.mark.parametrize("installation", ["486 Busy", "200 OK", ""], indirect=True)
PAUSE = pytest.mark.parametrize("pause_s", [0.0, 0.01, 0.2])


@ENDED
@PAUSE
def test_an_id_that_comes_again_after_its_client_left_does_not_run_twice(
    installation: Installation, pause_s: float
) -> None:
    installation.start()
    client = installation.connect()
    client.sendall(set_up())
    installation.server.await_invite()
    client.close()
    time.sleep(pause_s)
    with installation.connect() as again:
        again.sendall(set_up())
        assert reply_type(again) == 12
    time.sleep(0.5)
    assert installation.server.count() == 1


@ENDED
@PAUSE
def test_an_id_that_ran_at_the_previous_process_does_not_run_at_the_next(
    installation: Installation, pause_s: float
) -> None:
    """Guards against ids that an upgrade does not hand over: open ones, and those that are over."""
    installation.start()
    client = installation.connect()
    client.sendall(set_up()[:HALF_BYTES])
    installation.start()
    client.sendall(set_up()[HALF_BYTES:])
    installation.server.await_invite()
    client.close()
    time.sleep(pause_s)
    with installation.connect() as again:
        again.sendall(set_up())
        assert reply_type(again) == 12
    time.sleep(0.5)
    assert installation.server.count() == 1


@ENDED
@PAUSE
def test_an_id_that_ran_at_the_next_process_does_not_run_at_the_previous(
    installation: Installation, pause_s: float
) -> None:
    installation.start()
    old = installation.connect()
    old.sendall(set_up()[:HALF_BYTES])
    installation.start()
    with installation.connect() as client:
        client.sendall(set_up())
        installation.server.await_invite()
    time.sleep(pause_s)
    old.sendall(set_up()[HALF_BYTES:])
    time.sleep(0.5)
    assert installation.server.count() == 1
    old.close()


@ENDED
def test_an_id_that_ran_at_a_process_that_has_ended_does_not_run_at_the_next(
    installation: Installation,
) -> None:
    first = installation.start()
    with installation.connect() as client:
        client.sendall(set_up())
        installation.server.await_invite()
        time.sleep(0.1)
    second = installation.start()
    first.send_signal(signal.SIGTERM)
    assert first.wait(8) == 0
    await_line(second, "elder_gone")
    with installation.connect() as again:
        again.sendall(set_up())
        assert reply_type(again) == 12
    time.sleep(0.3)
    assert installation.server.count() == 1


@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize("set_ups", [40, 2_000])
def test_set_ups_unread_at_their_client_s_close_are_not_sent(
    installation: Installation, set_ups: int, how: str
) -> None:
    installation.start()
    client = installation.connect()
    if how == "reset":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    client.sendall(b"".join(set_up(f"{number:016x}") for number in range(1, set_ups + 1)))
    client.close()
    left_s = time.monotonic()
    time.sleep(2.0)
    late = [call for call, came_s in installation.server.invites if came_s > left_s + LEFT_MS / 1000.0]
    assert not late, f"{len(late)} of {len(installation.server.invites)} came later"
