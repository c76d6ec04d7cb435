"""The program itself: signals, descriptors that run out, suspension, upgrades and starts during outages."""

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
from tests.races.harness import OPTIONS, Harness
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
READY_S = 6.0  # the operators' bound for nine in ten restarts on a short day


class RunningProgram:
    """A started program, its addresses for callers and operators, and a fake session server."""

    def __init__(self, folder: Path, with_server: bool = True, **more_config: object) -> None:
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.settimeout(5)
        self.address = ("127.0.0.1", free_port())
        self.operators = ("127.0.0.1", free_port())
        dial = "127.0.0.1:%d" % self.server.getsockname()[1]
        hosts = (
            [{"host": "s-00000001", "dial": dial, "block": 0, "health": "in_service"}] if with_server else []
        )
        known = {"index": 1, "updates": [{"index": 1, "endpoints": {"whole": True, "hosts": hosts}}]}
        config = {**BASE_CONFIG, "listen": "%s:%d" % self.address, "known": known, **more_config}
        self.process = start(folder, config, BALANCER_MANAGEMENT="%s:%d" % self.operators)
        await_line(self.process, "started")

    def connect_caller(self) -> socket.socket:
        return socket.create_connection(self.address, timeout=5)

    def close(self) -> None:
        self.process.kill()
        self.process.wait()
        assert self.process.stderr is not None
        self.process.stderr.close()
        self.server.close()


@pytest.fixture
def running(tmp_path: Path) -> Iterator[RunningProgram]:
    with closing(RunningProgram(tmp_path)) as started:
        yield started


def test_sigterm_before_any_connection_is_accepted_exits_with_0(tmp_path: Path) -> None:
    """Guards against a planned restart that comes before the signal handlers are installed."""
    address = ("127.0.0.1", free_port())
    silent = socket.socket(socket.AF_UNIX)  # accepts an upgrade's connection; no answer for 1.5 s
    silent.bind(str(tmp_path / f"pearloom-127.0.0.1-{address[1]}.sock"))
    silent.listen()
    silent.settimeout(10)
    process = start(tmp_path, {**BASE_CONFIG, "listen": "%s:%d" % address}, TMPDIR=str(tmp_path))
    with closing(silent), closing(silent.accept()[0]):
        process.send_signal(signal.SIGTERM)
        assert process.wait(5) == 0
    assert process.stderr is not None
    process.stderr.close()


def test_a_set_up_that_is_half_received_at_the_end_is_answered(tmp_path: Path) -> None:
    """Guards against an exit 0.9 s after SIGTERM while the rest of a set-up is still in transit."""
    with closing(RunningProgram(tmp_path, with_server=False)) as running, running.connect_caller() as caller:
        message = encode(SET_UP)
        assert send_test(caller) == encode(PASSED)
        running.process.send_signal(signal.SIGTERM)
        await_line(running.process, "stopping")
        caller.sendall(message[:20])
        time.sleep(1.2)  # longer than new set-ups are accepted
        caller.sendall(message[20:])
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
def test_signals_in_quick_succession_end_the_program_once_with_all_calls_answered(
    running: RunningProgram, signals: tuple[signal.Signals, ...]
) -> None:
    with running.connect_caller() as caller, closing(running.server.accept()[0]) as trunk:
        caller.sendall(encode(SET_UP))
        assert b"INVITE" in trunk.recv(1000)
        for signal_number in signals:
            running.process.send_signal(signal_number)
        await_line(running.process, "stopping")
        answer = f"SIP/2.0 200 OK\r\nCall-ID: {CALL}\r\nCSeq: 1 INVITE\r\nContent-Length: 5\r\n\r\nsdp-s"
        trunk.sendall(answer.encode())
        assert caller.recv(100) == encode(f'(09 {CALL} 30("sdp-s"))')
        assert running.process.wait(5) == 0


def test_sigterm_during_a_drain_still_answers_an_open_call(running: RunningProgram) -> None:
    with running.connect_caller() as caller, closing(running.server.accept()[0]) as trunk:
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


def test_no_connection_is_accepted_once_the_program_is_stopping(running: RunningProgram) -> None:
    """Guards against set-ups that the kernel accepts for a process that does not read them."""
    with running.connect_caller() as caller:
        assert send_test(caller) == encode(PASSED)
        running.process.send_signal(signal.SIGTERM)
        lines = await_line(running.process, "stopped")
        assert any("event=counters" in line for line in lines)
        with pytest.raises(OSError):
            running.connect_caller()
        assert caller.recv(1) == b""


def test_a_caller_that_closed_while_the_program_was_suspended_gets_no_attempt(
    running: RunningProgram,
) -> None:
    """Guards against timers that run, after a suspension, before the closes received during it are read."""
    with closing(running.server.accept()[0]) as trunk:
        caller = running.connect_caller()
        caller.sendall(encode(SET_UP))
        assert b"INVITE" in trunk.recv(1000)
        error_response = (
            f"SIP/2.0 504 Broke\r\nCall-ID: {CALL}\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n"
        )
        trunk.sendall(error_response.encode())
        assert b"ACK" in trunk.recv(1000)
        running.process.send_signal(signal.SIGSTOP)
        caller.close()
        time.sleep(0.6)  # the pause after an uncertain attempt ends during the suspension
        running.process.send_signal(signal.SIGCONT)
        trunk.sendall(f"{OPTIONS}Content-Length: 0\r\n\r\n".encode())
        time.sleep(0.3)  # long enough for an attempt to arrive
        assert b"INVITE" not in trunk.recv(10_000)


def _start_with_few_descriptors(
    folder: Path, config: object, **more_environment: str
) -> subprocess.Popen[str]:
    path = folder / "config.json"
    path.write_text(json.dumps(config))
    return subprocess.Popen(
        [sys.executable, "-m", "pearloom"],
        cwd=ROOT,
        env={"PATH": "", "BALANCER_CONFIG": str(path), **more_environment},
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)),
    )


def test_idle_callers_leave_descriptors_for_the_coordinator_operators_and_an_active_caller(
    tmp_path: Path,
) -> None:
    """Guards against idle callers that occupy all descriptors while the coordinator is down."""
    coordinator, address = ("127.0.0.1", free_port()), ("127.0.0.1", free_port())
    operators = ("127.0.0.1", free_port())
    config = {
        **BASE_CONFIG,
        "listen": "%s:%d" % address,
        "coordinator": "%s:%d" % coordinator,
        "limits": {"sockets": DESCRIPTORS},
        "settings": SETTINGS,
    }
    process = _start_with_few_descriptors(tmp_path, config, BALANCER_MANAGEMENT="%s:%d" % operators)
    with ExitStack() as cleanup:
        cleanup.callback(process.wait)
        cleanup.callback(process.kill)
        await_line(process, "started")
        idle = [cleanup.enter_context(socket.create_connection(address, timeout=5)) for _ in range(150)]
        active = cleanup.enter_context(socket.create_connection(address, timeout=5))
        assert send_test(active) == encode(PASSED)
        assert management_call(operators, "/v1/readyz").startswith(b"HTTP/1.1 200 ")
        coordinator_listener = cleanup.enter_context(closing(socket.create_server(coordinator)))
        coordinator_listener.settimeout(2)  # reconnected at once
        stream = cleanup.enter_context(closing(coordinator_listener.accept()[0]))
        assert stream.recv(8) == struct.pack(">Q", 0)
        server = cleanup.enter_context(closing(socket.create_server(("127.0.0.1", 0))))
        server.settimeout(5)
        host, port = server.getsockname()
        record = struct.pack(">I4sHBBBHIQ", 1, socket.inet_aton(host), port, 0, 0, 0, 0, 1000, 0)
        frame = struct.pack(">QB", 1, 1) + record
        stream.sendall(struct.pack(">I", len(frame)) + frame)
        trunk = cleanup.enter_context(closing(server.accept()[0]))
        active.sendall(encode(SET_UP))
        assert b"INVITE" in trunk.recv(1000)
        assert select.select(idle, [], [], 0)[0], "idle callers were not disconnected first"


def test_sigterm_to_the_previous_process_during_a_hand_over_loses_no_caller(tmp_path: Path) -> None:
    """Guards against a previous process that exits before the next one accepts: its listen queue is lost."""
    address = ("127.0.0.1", free_port())
    # Listens but never accepts, so the next process waits 1 s.
    dial = socket.create_server(("127.0.0.1", 0), backlog=8)
    host = {"host": "s-00000001", "dial": "127.0.0.1:%d" % dial.getsockname()[1], "health": "in_service"}
    known = {"index": 1, "updates": [{"index": 1, "endpoints": {"whole": True, "hosts": [host]}}]}
    config = {**BASE_CONFIG, "listen": "%s:%d" % address, "known": known}
    previous = start(tmp_path, config, TMPDIR=str(tmp_path))
    await_line(previous, "started")
    following = start(tmp_path, config, TMPDIR=str(tmp_path))
    await_line(previous, "handover_begun")
    previous.send_signal(signal.SIGTERM)
    await_line(following, "started")
    for _ in range(3):
        with socket.create_connection(address, timeout=5) as caller:
            # The previous process answers test messages with a failure while it stops.
            assert send_test(caller) in (encode(PASSED), encode(FAILED))
    assert previous.wait(5) == 0
    with socket.create_connection(address, timeout=5) as caller:
        assert send_test(caller) == encode(PASSED)
    dial.close()
    for process in (previous, following):
        assert process.stderr is not None
        process.kill()
        process.wait()
        process.stderr.close()


def test_an_upgrade_passes_on_the_zones_of_servers(tmp_path: Path) -> None:
    """Guards against rules and maintenance by zone that know no zones after an upgrade."""
    path = tmp_path / "handover.sock"
    harness = Harness(tmp_path)
    try:
        server = Server(PoolEntry("s-00000009", 4, PoolState.READY), ("127.0.0.1", 1), "east")
        harness.softswitch.exchange.handle_pool_list(ListKind.CHANGES, [server])
        harness.softswitch.handover.listen(path)
        inherited = handover.request_handover(path)
        assert inherited is not None
        assert {item.entry.server: item.zone for item in inherited.pool_list.servers}["s-00000009"] == "east"
    finally:
        harness.close()


@pytest.mark.parametrize(
    "coordinator_state", ["down", "silent", "silent after a frame", "complete but empty"]
)
def test_a_start_is_ready_soon_whatever_the_coordinator_does(tmp_path: Path, coordinator_state: str) -> None:
    """Guards against a start that waits for a list: a fleet restarted in an outage has to keep serving."""
    address, operators = ("127.0.0.1", free_port()), ("127.0.0.1", free_port())
    server = socket.create_server(("127.0.0.1", 0))
    server.settimeout(5)
    host = {"host": "s-00000001", "dial": "127.0.0.1:%d" % server.getsockname()[1], "health": "in_service"}
    known = {"index": 1, "updates": [{"index": 1, "endpoints": {"whole": True, "hosts": [host]}}]}
    with ExitStack() as cleanup:
        cleanup.enter_context(closing(server))
        coordinator = ("127.0.0.1", free_port())
        if coordinator_state != "down":
            listener = cleanup.enter_context(closing(socket.create_server(coordinator)))
            listener.settimeout(5)
        config = {
            **BASE_CONFIG,
            "listen": "%s:%d" % address,
            "known": known,
            "coordinator": "%s:%d" % coordinator,
        }
        started_s = time.monotonic()
        process = start(tmp_path, config, BALANCER_MANAGEMENT="%s:%d" % operators)
        await_line(process, "started")
        if coordinator_state != "down":
            stream = cleanup.enter_context(closing(listener.accept()[0]))
            if coordinator_state != "silent":
                is_complete, number = (0, 0) if coordinator_state == "silent after a frame" else (1, 2)
                stream.sendall(struct.pack(">IQB", 9, number, is_complete))
        assert management_call(operators, "/v1/readyz").startswith(b"HTTP/1.1 200 ")
        with socket.create_connection(address, timeout=5) as caller:
            assert send_test(caller) == encode(PASSED)
            assert time.monotonic() - started_s < READY_S
            if coordinator_state == "complete but empty":
                await_line(process, "list")
            caller.sendall(encode(SET_UP))
            if coordinator_state == "complete but empty":
                assert caller.recv(100)[2:11] == encode(f"0c {CALL}")  # refused: no server may get it
            else:
                with closing(server.accept()[0]) as trunk:
                    assert b"INVITE" in trunk.recv(1000)
        process.kill()
        process.wait()
        assert process.stderr is not None
        process.stderr.close()
