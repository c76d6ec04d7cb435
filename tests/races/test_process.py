"""The program itself at signals, with descriptors that run out, and after standing still."""

from __future__ import annotations

import json
import resource
import select
import signal
import socket
import struct
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import ExitStack, closing
from pathlib import Path

import pytest

from pearloom.admin import handover
from pearloom.core.config import Server
from pearloom.fakes.stage import free_port
from pearloom.interface import ListKind, PoolEntry, PoolState
from tests.player import SETTINGS, encode
from tests.races.scene import OPTIONS, Scene
from tests.test_program import (
    BASE_CONFIG,
    FAILED,
    PASSED,
    ROOT,
    await_line,
    end_processes,
    management_call,
    send_test,
    start,
)

__all__ = ["end_processes"]
CALL = "9b1f03aa5c7e2d41"
SET_UP = f'(01 {CALL} 03("open-form") 06("3000") 0f("1") 12("dest:0") 30("sdp-c"))'
DESCRIPTORS = 64
READY_S = 6.0  # what the operators allow nine in ten restarts on a short day


class Running:
    """A started program, its callers' address and, where asked for, one session server."""

    def __init__(self, folder: Path, with_server: bool = True, **more: object) -> None:
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.settimeout(5)
        self.address = ("127.0.0.1", free_port())
        self.operators = ("127.0.0.1", free_port())
        dial = "127.0.0.1:%d" % self.server.getsockname()[1]
        hosts = (
            [{"host": "s-00000001", "dial": dial, "block": 0, "health": "in_service"}] if with_server else []
        )
        known = {"index": 1, "updates": [{"index": 1, "endpoints": {"whole": True, "hosts": hosts}}]}
        told = {**BASE_CONFIG, "listen": "%s:%d" % self.address, "known": known, **more}
        self.process = start(folder, told, BALANCER_MANAGEMENT="%s:%d" % self.operators)
        await_line(self.process, "started")

    def caller(self) -> socket.socket:
        return socket.create_connection(self.address, timeout=5)

    def close(self) -> None:
        self.process.kill()
        self.process.wait()
        assert self.process.stderr is not None
        self.process.stderr.close()
        self.server.close()


@pytest.fixture
def running(tmp_path: Path) -> Iterator[Running]:
    with closing(Running(tmp_path)) as found:
        yield found


def test_sigterm_before_anything_is_taken_ends_with_0(tmp_path: Path) -> None:
    """Guards against a start that a planned restart meets before the handlers stand."""
    address = ("127.0.0.1", free_port())
    hung = socket.socket(socket.AF_UNIX)  # takes the connection of an upgrade and says nothing for 1.5 s
    hung.bind(str(tmp_path / f"pearloom-127.0.0.1-{address[1]}.sock"))
    hung.listen()
    hung.settimeout(10)
    process = start(tmp_path, {**BASE_CONFIG, "listen": "%s:%d" % address}, TMPDIR=str(tmp_path))
    with closing(hung), closing(hung.accept()[0]):
        process.send_signal(signal.SIGTERM)
        assert process.wait(5) == 0
    assert process.stderr is not None
    process.stderr.close()


def test_a_set_up_that_is_half_written_at_the_end_is_answered(tmp_path: Path) -> None:
    """Guards against leaving 0.9 s after SIGTERM while the rest of a set-up is on its way."""
    with closing(Running(tmp_path, with_server=False)) as running, running.caller() as caller:
        whole = encode(SET_UP)
        assert send_test(caller) == encode(PASSED)
        running.process.send_signal(signal.SIGTERM)
        await_line(running.process, "stopping")
        caller.sendall(whole[:20])
        time.sleep(1.2)  # longer than set-ups keep coming
        caller.sendall(whole[20:])
        assert caller.recv(100)[2:11] == encode(f"0c {CALL}")
        assert running.process.wait(5) == 0


@pytest.mark.parametrize(
    "signals",
    [
        (signal.SIGTERM, signal.SIGTERM),
        (signal.SIGHUP, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGHUP),
        (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP),
    ],
)
def test_signals_close_together_end_once_with_all_answered(
    running: Running, signals: tuple[signal.Signals, ...]
) -> None:
    with running.caller() as caller, closing(running.server.accept()[0]) as trunk:
        caller.sendall(encode(SET_UP))
        assert b"INVITE" in trunk.recv(1000)
        for one in signals:
            running.process.send_signal(one)
        await_line(running.process, "stopping")
        head = f"SIP/2.0 200 OK\r\nCall-ID: {CALL}\r\nCSeq: 1 INVITE\r\nContent-Length: 5\r\n\r\nsdp-s"
        trunk.sendall(head.encode())
        assert caller.recv(100) == encode(f'(09 {CALL} 30("sdp-s"))')
        assert running.process.wait(5) == 0


def test_sigterm_in_a_drain_answers_what_is_open_and_refuses_the_rest(running: Running) -> None:
    with running.caller() as caller, closing(running.server.accept()[0]) as trunk:
        caller.sendall(encode(SET_UP))
        assert b"INVITE" in trunk.recv(1000)
        assert management_call(running.operators, "/v1/softswitch/drain", "POST").startswith(b"HTTP/1.1 200 ")
        running.process.send_signal(signal.SIGTERM)
        await_line(running.process, "stopping")
        trunk.sendall(
            f"SIP/2.0 486 Busy\r\nCall-ID: {CALL}\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n".encode()
        )
        assert caller.recv(100)[2:11] == encode(f"0c {CALL}")
        assert running.process.wait(5) == 0


def test_nothing_is_taken_once_the_program_has_decided_to_end(running: Running) -> None:
    """Guards against set-ups that the system takes for a process that reads no more."""
    with running.caller() as caller:
        assert send_test(caller) == encode(PASSED)
        running.process.send_signal(signal.SIGTERM)
        lines = await_line(running.process, "stopped")
        assert any("event=counters" in line for line in lines)
        with pytest.raises(OSError):
            running.caller()
        assert caller.recv(1) == b""


def test_a_caller_that_closed_while_the_program_stood_still_gets_no_attempt(running: Running) -> None:
    """Guards against timers that act, after a stop, before the closes that came in it are read."""
    with closing(running.server.accept()[0]) as trunk:
        caller = running.caller()
        caller.sendall(encode(SET_UP))
        assert b"INVITE" in trunk.recv(1000)
        head = f"SIP/2.0 504 Broke\r\nCall-ID: {CALL}\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n"
        trunk.sendall(head.encode())
        assert b"ACK" in trunk.recv(1000)
        running.process.send_signal(signal.SIGSTOP)
        caller.close()
        time.sleep(0.6)  # the pause after doubt ends while the process stands still
        running.process.send_signal(signal.SIGCONT)
        trunk.sendall(f"{OPTIONS}Content-Length: 0\r\n\r\n".encode())
        time.sleep(0.3)  # in which an attempt, if there were one, would have come
        assert b"INVITE" not in trunk.recv(10_000)


def _limited(folder: Path, told: object, **more: str) -> subprocess.Popen[str]:
    path = folder / "config.json"
    path.write_text(json.dumps(told))
    return subprocess.Popen(
        [sys.executable, "-m", "pearloom"],
        cwd=ROOT,
        env={"PATH": "", "BALANCER_CONFIG": str(path), **more},
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)),
    )


def test_idle_callers_leave_room_for_the_coordinator_operators_and_a_true_caller(tmp_path: Path) -> None:
    """Guards against descriptors that idle callers hold all of while discovery is down."""
    coordinator, address = ("127.0.0.1", free_port()), ("127.0.0.1", free_port())
    operators = ("127.0.0.1", free_port())
    told = {
        **BASE_CONFIG,
        "listen": "%s:%d" % address,
        "coordinator": "%s:%d" % coordinator,
        "limits": {"sockets": DESCRIPTORS},
        "settings": SETTINGS,
    }
    process = _limited(tmp_path, told, BALANCER_MANAGEMENT="%s:%d" % operators)
    with ExitStack() as held:
        held.callback(process.wait)
        held.callback(process.kill)
        await_line(process, "started")
        idle = [held.enter_context(socket.create_connection(address, timeout=5)) for _ in range(150)]
        true = held.enter_context(socket.create_connection(address, timeout=5))
        assert send_test(true) == encode(PASSED)
        assert management_call(operators, "/v1/readyz").startswith(b"HTTP/1.1 200 ")
        discovery = held.enter_context(closing(socket.create_server(coordinator)))
        discovery.settimeout(2)  # found again at once
        stream = held.enter_context(closing(discovery.accept()[0]))
        assert stream.recv(8) == struct.pack(">Q", 0)
        server = held.enter_context(closing(socket.create_server(("127.0.0.1", 0))))
        server.settimeout(5)
        host, port = server.getsockname()
        record = struct.pack(">I4sHBBBHIQ", 1, socket.inet_aton(host), port, 0, 0, 0, 0, 1000, 0)
        frame = struct.pack(">QB", 1, 1) + record
        stream.sendall(struct.pack(">I", len(frame)) + frame)
        trunk = held.enter_context(closing(server.accept()[0]))
        true.sendall(encode(SET_UP))
        assert b"INVITE" in trunk.recv(1000)
        assert select.select(idle, [], [], 0)[0], "idle callers went first"


def test_sigterm_to_the_old_process_in_the_middle_of_a_hand_over_loses_no_caller(tmp_path: Path) -> None:
    """Guards against an old process that ends before the new one accepts, and takes the queue with it."""
    address = ("127.0.0.1", free_port())
    dial = socket.create_server(("127.0.0.1", 0), backlog=8)  # up, but never accepted: the new one waits 1 s
    host = {"host": "s-00000001", "dial": "127.0.0.1:%d" % dial.getsockname()[1], "health": "in_service"}
    known = {"index": 1, "updates": [{"index": 1, "endpoints": {"whole": True, "hosts": [host]}}]}
    told = {**BASE_CONFIG, "listen": "%s:%d" % address, "known": known}
    old = start(tmp_path, told, TMPDIR=str(tmp_path))
    await_line(old, "started")
    new = start(tmp_path, told, TMPDIR=str(tmp_path))
    await_line(old, "handover_begun")
    old.send_signal(signal.SIGTERM)
    await_line(new, "started")
    for _ in range(3):
        with socket.create_connection(address, timeout=5) as caller:
            # The old process fails tests while it ends.
            assert send_test(caller) in (encode(PASSED), encode(FAILED))
    assert old.wait(5) == 0
    with socket.create_connection(address, timeout=5) as caller:
        assert send_test(caller) == encode(PASSED)
    dial.close()
    for process in (old, new):
        assert process.stderr is not None
        process.kill()
        process.wait()
        process.stderr.close()


def test_zones_of_servers_are_kept_over_an_upgrade(tmp_path: Path) -> None:
    """Guards against rules and work that go by zones and find none after an upgrade."""
    path = tmp_path / "handover.sock"
    scene = Scene(tmp_path)
    try:
        told = Server(PoolEntry("s-00000009", 4, PoolState.READY), ("127.0.0.1", 1), "east")
        scene.softswitch.exchange.handle_pool_list(ListKind.CHANGES, [told])
        scene.softswitch.handover.listen(path)
        legacy = handover.request_handover(path)
        assert legacy is not None
        assert {one.entry.server: one.zone for one in legacy.pool_list.servers}["s-00000009"] == "east"
    finally:
        scene.close()


@pytest.mark.parametrize("discovery", ["down", "silent", "silent after a frame", "whole but empty"])
def test_a_start_is_ready_soon_whatever_discovery_does(tmp_path: Path, discovery: str) -> None:
    """Guards against a restart that waits for a list: a fleet restarted during an outage must serve on."""
    address, operators = ("127.0.0.1", free_port()), ("127.0.0.1", free_port())
    server = socket.create_server(("127.0.0.1", 0))
    server.settimeout(5)
    host = {"host": "s-00000001", "dial": "127.0.0.1:%d" % server.getsockname()[1], "health": "in_service"}
    known = {"index": 1, "updates": [{"index": 1, "endpoints": {"whole": True, "hosts": [host]}}]}
    with ExitStack() as held:
        held.enter_context(closing(server))
        coordinator = ("127.0.0.1", free_port())
        if discovery != "down":
            listener = held.enter_context(closing(socket.create_server(coordinator)))
            listener.settimeout(5)
        told = {
            **BASE_CONFIG,
            "listen": "%s:%d" % address,
            "known": known,
            "coordinator": "%s:%d" % coordinator,
        }
        begun = time.monotonic()
        process = start(tmp_path, told, BALANCER_MANAGEMENT="%s:%d" % operators)
        await_line(process, "started")
        if discovery != "down":
            stream = held.enter_context(closing(listener.accept()[0]))
            if discovery != "silent":
                kind, number = (0, 0) if discovery == "silent after a frame" else (1, 2)
                stream.sendall(struct.pack(">IQB", 9, number, kind))
        assert management_call(operators, "/v1/readyz").startswith(b"HTTP/1.1 200 ")
        with socket.create_connection(address, timeout=5) as caller:
            assert send_test(caller) == encode(PASSED)
            assert time.monotonic() - begun < READY_S
            if discovery == "whole but empty":
                await_line(process, "list")
            caller.sendall(encode(SET_UP))
            if discovery == "whole but empty":
                assert caller.recv(100)[2:11] == encode(f"0c {CALL}")  # refused, as nobody may take it
            else:
                with closing(server.accept()[0]) as trunk:
                    assert b"INVITE" in trunk.recv(1000)
        process.kill()
        process.wait()
        assert process.stderr is not None
        process.stderr.close()
