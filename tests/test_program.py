"""The softswitch as a process: configuration, signals, upgrades, exit codes."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from pearloom.fakes.stage import free_port
from tests.player import SETTINGS, encode

ROOT = Path(__file__).parent.parent
TEST = "(34 00000000000000ff 2d(00))"
PASSED = "(35 00000000000000ff 2d(01))"
FAILED = "(35 00000000000000ff 2d(00))"
BASE_CONFIG: dict[str, object] = {
    "name": "n1",
    "listen": "127.0.0.1:0",
    "seed": "8c1f30d27a5be964",
    "coordinator": "127.0.0.1:1",
    "known": {"index": 0, "updates": []},
    "limits": {"sockets": 64},
    "settings": SETTINGS,
}
SERVICES: list[dict[str, object]] = SETTINGS["services"]  # type: ignore[assignment]
LIMITS: dict[str, object] = SETTINGS["limits"]  # type: ignore[assignment]
STARTED: list[subprocess.Popen[str]] = []


def start(folder: Path, config: object, **environment: str) -> subprocess.Popen[str]:
    path = folder / "config.json"
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    process = subprocess.Popen(
        [sys.executable, "-m", "pearloom"],
        cwd=ROOT,
        env={**os.environ, "BALANCER_CONFIG": str(path), **environment},
        stderr=subprocess.PIPE,
        text=True,
    )
    STARTED.append(process)
    return process


@pytest.fixture(autouse=True)
def end_processes() -> Iterator[None]:
    """Guards against processes that a test leaves behind when it fails."""
    yield
    while STARTED:
        process = STARTED.pop()
        process.kill()
        process.wait()


@pytest.fixture
def running(tmp_path: Path) -> Iterator[tuple[subprocess.Popen[str], socket.socket]]:
    address = ("127.0.0.1", free_port())
    process = start(tmp_path, {**BASE_CONFIG, "listen": f"{address[0]}:{address[1]}"})
    assert process.stderr is not None and "event=started" in process.stderr.readline()
    with socket.create_connection(address, timeout=5) as caller:
        yield process, caller
    process.kill()
    process.wait()
    process.stderr.close()


def send_test(caller: socket.socket) -> bytes:
    caller.sendall(encode(TEST))
    return caller.recv(100)


def test_after_sigterm_tests_fail_and_the_exit_code_is_0(
    running: tuple[subprocess.Popen[str], socket.socket],
) -> None:
    process, caller = running
    assert send_test(caller) == encode(PASSED)
    process.send_signal(signal.SIGTERM)
    assert process.stderr is not None
    while "event=stopping" not in process.stderr.readline():
        pass
    assert send_test(caller) == encode(FAILED)
    assert process.wait(10) == 0
    assert "event=counters" in process.stderr.read()


def test_sighup_never_ends_the_process(
    running: tuple[subprocess.Popen[str], socket.socket], tmp_path: Path
) -> None:
    process, caller = running
    assert process.stderr is not None
    config = tmp_path / "config.json"
    valid = config.read_text()
    for text, event in (("{", "reload_failed"), (valid, "reloaded"), (valid, "reloaded")):
        config.write_text(text)
        process.send_signal(signal.SIGHUP)
        while f"event={event}" not in process.stderr.readline():
            pass
        assert send_test(caller) == encode(PASSED)


def test_sigterm_refuses_open_set_ups_before_sigkill_may_come(tmp_path: Path) -> None:
    # No server is listed and the aims are long: the set-up would wait for 4.5 s.
    services = [{"name": "open-form", "aimUs": 9_000_000, "deadlineUs": 9_000_000, "importance": 1}]
    address = ("127.0.0.1", free_port())
    services_settings = {"services": services, "specifics": {"guardUs": 300_000, "skilledPools": [[0, 1, 2]]}}
    config = {
        **BASE_CONFIG,
        "listen": f"127.0.0.1:{address[1]}",
        "settings": {**SETTINGS, **services_settings},
    }
    process = start(tmp_path, config)
    assert process.stderr is not None and "event=started" in process.stderr.readline()
    with socket.create_connection(address, timeout=4) as caller, process.stderr:
        caller.sendall(encode('(01 9b1f03aa5c7e2d41 03("open-form") 06("9000") 0f("1"))'))
        process.send_signal(signal.SIGTERM)
        assert caller.recv(100)[2:11] == encode("0c 9b1f03aa5c7e2d41")
        assert process.wait(3.7) == 0


def test_the_memory_limit_bounds_connections(tmp_path: Path) -> None:
    address = ("127.0.0.1", free_port())
    limits = {"sockets": 1024, "memory_mb": 16}
    process = start(tmp_path, {**BASE_CONFIG, "listen": f"127.0.0.1:{address[1]}", "limits": limits})
    assert process.stderr is not None and "event=started" in process.stderr.readline()
    with process.stderr:
        callers = [socket.create_connection(address, timeout=5) for _ in range(30)]
        assert send_test(callers[-1]) == encode(PASSED)
        assert callers[0].recv(1) == b""
        process.kill()
        process.wait()
        for caller in callers:
            caller.close()


def await_line(process: subprocess.Popen[str], event: str) -> list[str]:
    """Read the log until the first line of this event; return the lines before it."""
    assert process.stderr is not None
    before = []
    while f"event={event}" not in (line := process.stderr.readline()).split():
        assert line, f"the process ended before {event}"
        before.append(line)
    return before


def management_call(address: tuple[str, int], path: str, method: str = "GET") -> bytes:
    with socket.create_connection(address, timeout=5) as operator:
        operator.sendall(f"{method} {path} HTTP/1.1\r\nHost: n1\r\n\r\n".encode())
        return b"".join(iter(lambda: operator.recv(1000), b""))


def test_upgrades_hand_over_the_socket_and_established_calls_and_survive_the_death_of_a_new_process(
    tmp_path: Path,
) -> None:
    address, operators = ("127.0.0.1", free_port()), [("127.0.0.1", free_port()) for _ in range(3)]
    server = socket.create_server(("127.0.0.1", 0))
    server.settimeout(5)
    hosts = [{"host": "s-00000001", "dial": "127.0.0.1:%d" % server.getsockname()[1], "health": "in_service"}]
    known = {"index": 1, "updates": [{"index": 1, "endpoints": {"whole": True, "hosts": hosts}}]}
    config = {**BASE_CONFIG, "listen": f"127.0.0.1:{address[1]}", "known": known}
    with socket.socket(socket.AF_UNIX) as stale:
        stale.bind(str(tmp_path / f"pearloom-127.0.0.1-{address[1]}.sock"))  # of a process that has ended
    call = "9b1f03aa5c7e2d41"

    def begin(number: int) -> subprocess.Popen[str]:
        management = "{}:{}".format(*operators[number])
        process = start(tmp_path, config, TMPDIR=str(tmp_path), BALANCER_MANAGEMENT=management)
        await_line(process, "started")
        assert management_call(operators[number], "/v1/readyz").startswith(b"HTTP/1.1 200 ")
        return process

    first = begin(0)
    trunk, _ = server.accept()
    caller = socket.create_connection(address, timeout=5)
    caller.sendall(encode(f'(01 {call} 03("open-form") 06("3000") 0f("1") 12("dest:0"))'))
    assert b"INVITE" in trunk.recv(1000)
    head = f"Call-ID: {call}\r\nCSeq: 1 INVITE\r\n"
    trunk.sendall(f"SIP/2.0 200 OK\r\n{head}Content-Length: 1\r\n\r\nx".encode())
    assert caller.recv(1000) == encode(f'(09 {call} 30("x"))')

    killed = begin(1)
    killed.kill()
    killed.wait()
    await_line(first, "handover_undone")
    with socket.create_connection(address, timeout=5) as next_caller:
        assert send_test(next_caller) == encode(PASSED)  # the first process accepts again

    second = begin(2)
    assert management_call(operators[0], "/v1/readyz").startswith(b"HTTP/1.1 503 ")
    assert caller.recv(1) == b""
    first.send_signal(signal.SIGTERM)
    assert first.wait(5) == 0
    with socket.create_connection(address, timeout=5) as next_caller:
        next_caller.sendall(encode("(10 0000000000000002)"))
        assert send_test(next_caller) == encode(PASSED)
        trunks: list[socket.socket] = []
        bye = f"BYE sip:peer@net SIP/2.0\r\nCall-ID: {call}\r\nCSeq: 9 BYE\r\nReason: Q.850;cause=16\r\n"
        # The server sends the release on each of its connections; those of ended processes are reset.
        next_caller.settimeout(0.2)
        received = b""
        for _ in range(20):
            trunks.append(server.accept()[0])
            with contextlib.suppress(OSError):
                trunks[-1].sendall(f"{bye}Content-Length: 0\r\n\r\n".encode())
            with contextlib.suppress(TimeoutError):
                received = next_caller.recv(1000)
                break
        assert received == encode(f"(0c {call} 2d(10))")
    second.kill()
    second.wait()
    for one in (server, trunk, caller, *trunks, first.stderr, second.stderr, killed.stderr):
        assert one is not None
        one.close()


def test_a_new_process_listens_beside_a_process_that_hangs(tmp_path: Path) -> None:
    address, operators = ("127.0.0.1", free_port()), ("127.0.0.1", free_port())
    config = {**BASE_CONFIG, "listen": f"127.0.0.1:{address[1]}"}
    hung = start(tmp_path, config, TMPDIR=str(tmp_path))
    await_line(hung, "started")
    hung.send_signal(signal.SIGSTOP)
    management = "{}:{}".format(*operators)
    beside = start(tmp_path, config, TMPDIR=str(tmp_path), BALANCER_MANAGEMENT=management)
    await_line(beside, "handover_unanswered")
    await_line(beside, "started")
    assert management_call(operators, "/v1/readyz").startswith(b"HTTP/1.1 200 ")
    for process in (hung, beside):
        process.kill()
        process.wait()
        assert process.stderr is not None
        process.stderr.close()


def test_sigusr1_logs_the_counters(running: tuple[subprocess.Popen[str], socket.socket]) -> None:
    process, caller = running
    caller.sendall(encode('(01 9b1f03aa5c7e2d41 03("none"))'))
    assert len(caller.recv(100)) > 0
    process.send_signal(signal.SIGUSR1)
    assert process.stderr is not None
    lines = iter(process.stderr.readline, "")
    line = next(line for line in lines if "event=counters" in line)
    assert "bad_set_ups=1" in line and "open_calls=0" in line


@pytest.mark.parametrize(
    "config",
    [
        "{",
        {},
        {**BASE_CONFIG, "settings": {}},
        {**BASE_CONFIG, "listen": "nowhere"},
        {**BASE_CONFIG, "seed": "x"},
        {**BASE_CONFIG, "settings": {**SETTINGS, "fleetSize": 0}},
        {**BASE_CONFIG, "settings": {**SETTINGS, "limits": {**LIMITS, "maxAttempts": 0}}},
        {**BASE_CONFIG, "settings": {**SETTINGS, "limits": {**LIMITS, "dialTimeoutUs": 0}}},
        {**BASE_CONFIG, "settings": {**SETTINGS, "guarantees": {"fallUs": float("inf")}}},
        {**BASE_CONFIG, "settings": {**SETTINGS, "guarantees": {"coldShare": float("nan")}}},
        # Pools for an unknown class.
        {**BASE_CONFIG, "settings": {**SETTINGS, "services": SERVICES[:1]}},
        {**BASE_CONFIG, "settings": {**SETTINGS, "services": [SERVICES[0], SERVICES[0]]}},
        {
            **BASE_CONFIG,
            "settings": {**SETTINGS, "services": [{**SERVICES[0], "effect": "often"}, SERVICES[1]]},
        },
        {**BASE_CONFIG, "settings": {**SETTINGS, "specifics": {"skilledPools": [[0], []]}}},
        {**BASE_CONFIG, "settings": {**SETTINGS, "tenants": [{"name": "", "fraction": 1}]}},
        {**BASE_CONFIG, "limits": {"sockets": 0}},
        {**BASE_CONFIG, "limits": {"sockets": 64, "memory_mb": 0}},
        {**BASE_CONFIG, "known": {"updates": [{"index": 1, "endpoints": {"whole": True, "hosts": [{}]}}]}},
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line(tmp_path: Path, config: object) -> None:
    process = start(tmp_path, config)
    _, errors = process.communicate(timeout=30)
    assert process.returncode == 2
    assert errors.startswith("pearloom: ") and errors.count("\n") == 1


def test_an_address_in_use_is_reported_in_one_line(tmp_path: Path) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        process = start(tmp_path, {**BASE_CONFIG, "listen": f"127.0.0.1:{taken.getsockname()[1]}"})
        _, errors = process.communicate(timeout=30)
    assert process.returncode == 2 and errors.count("\n") == 1
