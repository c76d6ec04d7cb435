"""The program with generated settings: names, times and limits are those of the settings, not of one site."""

from __future__ import annotations

import re
import socket
import tempfile
import time
from contextlib import ExitStack, closing
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from pearloom.binary import isup
from pearloom.binary.isup import Cause, Code, Message, Type
from pearloom.fakes.stage import free_port
from tests.test_program import BASE_CONFIG, await_line, end_processes, start

__all__ = ["end_processes"]
CLOCK_TOLERANCE_MS = 200.0  # for a busy machine: the time is measured outside the program
NAME = st.from_regex(r"[a-z][a-z0-9]{0,5}(-[a-z0-9]{1,5}){0,2}", fullmatch=True)


@dataclass(frozen=True)
class Site:
    """The settings of one site and the behaviour of its servers."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    cells: tuple[tuple[int, ...], ...]  # for each class, the pools that may take it
    pools: int
    aim_ms: int
    patience_ms: int
    guard_ms: int
    max_attempts: int
    sends_stay_away: bool
    most_stay_away_ms: int
    status: int  # with which the servers answer every INVITE

    def settings(self) -> dict[str, object]:
        return {
            "fleetSize": 3,
            "guarantees": {"answerSlackUs": 20_000, "coldShare": 0.5, "fallMultiple": 2.0, "fallUs": 10**6},
            "limits": {
                "maxAttempts": self.max_attempts,
                "mayCancel": True,
                "retryAfter": self.sends_stay_away,
                "maxRetryAfterUs": self.most_stay_away_ms * 1000,
                "dialTimeoutUs": 500_000,
            },
            "roundUs": 1000,
            "services": [
                {"name": name, "aimUs": self.aim_ms * 1000, "deadlineUs": self.patience_ms * 3000}
                for name in self.classes
            ],
            "tenants": [{"name": name, "fraction": 1 / len(self.tenants)} for name in self.tenants],
            "specifics": {
                "guardUs": self.guard_ms * 1000,
                "skilledPools": [list(cells) for cells in self.cells],
            },
        }


@st.composite
def sites(draw: st.DrawFn) -> Site:
    classes = tuple(draw(st.lists(NAME, min_size=1, max_size=4, unique=True)))
    pools = draw(st.integers(1, 4))
    cells = st.lists(st.integers(0, pools - 1), min_size=1, max_size=pools, unique=True).map(tuple)
    return Site(
        classes=classes,
        tenants=tuple(draw(st.lists(NAME, max_size=3, unique=True))),
        cells=tuple(draw(cells) for _ in classes),
        pools=pools,
        aim_ms=draw(st.sampled_from([300, 700, 1500])),
        patience_ms=draw(st.sampled_from([500, 800])),
        guard_ms=draw(st.sampled_from([0, 50, 120])),
        max_attempts=draw(st.integers(1, 3)),
        sends_stay_away=draw(st.booleans()),
        most_stay_away_ms=draw(st.sampled_from([40, 700, 60_000])),
        status=draw(st.sampled_from([200, 503, 504])),
    )


def encode_set_up(site: Site, class_name: str) -> bytes:
    parameters = {
        int(Code.CLASS): class_name.encode(),
        int(Code.PATIENCE_MS): str(site.patience_ms).encode(),
        int(Code.NUMBER): b"7f3a9c21e0b4d655",
        int(Code.ATTRIBUTES): b"dest:0;width:1;via:-1",
        int(Code.DESCRIPTION): b"sdp-c",
    }
    if site.tenants:
        parameters[int(Code.TENANT)] = site.tenants[-1].encode()
    return isup.encode(Message(Type.SET_UP, "9b1f03aa5c7e2d41", parameters))


@dataclass
class Attempt:
    """One INVITE that a server received."""

    at_s: float
    cell: int
    text: str


def play(site: Site, class_name: str) -> tuple[list[Attempt], Message, float]:
    """Send one set-up; return its attempts, its final answer and the time to that answer in ms."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        servers = [
            stack.enter_context(closing(socket.create_server(("127.0.0.1", 0)))) for _ in range(site.pools)
        ]
        hosts = [
            {"host": f"s-{cell:08x}", "dial": "127.0.0.1:%d" % server.getsockname()[1], "block": cell,
             "health": "in_service"}
            for cell, server in enumerate(servers)
        ]  # fmt: skip
        address = ("127.0.0.1", free_port())
        known = {"index": 1, "updates": [{"index": 1, "endpoints": {"whole": True, "hosts": hosts}}]}
        config = {**BASE_CONFIG, "listen": "%s:%d" % address, "known": known, "settings": site.settings()}
        process = start(folder, config)
        stack.callback(process.wait)
        stack.callback(process.kill)
        await_line(process, "started")
        caller = stack.enter_context(socket.create_connection(address, timeout=5))
        return serve(site, servers, caller, encode_set_up(site, class_name))


def serve(
    site: Site, servers: list[socket.socket], caller: socket.socket, set_up: bytes
) -> tuple[list[Attempt], Message, float]:
    """Answer every INVITE with the site's status until the caller has received its final answer."""
    decoder, attempts = isup.Decoder(), list[Attempt]()
    for server in servers:
        server.setblocking(False)
    connections: list[tuple[int, socket.socket]] = []
    caller.sendall(set_up)
    caller.setblocking(False)
    started_s = time.monotonic()
    while time.monotonic() < started_s + 5:
        for cell, server in enumerate(servers):
            try:
                connections.append((cell, server.accept()[0]))
                connections[-1][1].setblocking(False)
            except BlockingIOError:
                pass
        for cell, connection in connections:
            try:
                text = connection.recv(65536).decode()
            except BlockingIOError:
                continue
            if text.startswith("INVITE"):
                attempts.append(Attempt(time.monotonic(), cell, text))
                sequence = re.findall(r"CSeq: (\d+) INVITE", text)[0]
                body = "sdp-s" if site.status == 200 else ""
                head = f"SIP/2.0 {site.status} x\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: {sequence} INVITE\r\n"
                connection.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode())
        try:
            for message in decoder.feed(caller.recv(1000)):
                assert isinstance(message, Message)
                for _, connection in connections:
                    connection.close()
                return attempts, message, (time.monotonic() - started_s) * 1000
        except BlockingIOError:
            time.sleep(0.001)
    raise AssertionError("no final answer")


@settings(
    max_examples=20, deadline=None, derandomize=True, database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.function_scoped_fixture],
)  # fmt: skip
@given(sites(), st.data())
def test_the_program_follows_its_settings(site: Site, data: st.DataObject) -> None:
    """Guards against a name, pause, bound or limit that does not come from the settings."""
    class_name = data.draw(st.sampled_from(site.classes))
    attempts, answer, took_ms = play(site, class_name)
    assert took_ms <= site.patience_ms + CLOCK_TOLERANCE_MS
    assert 1 <= len(attempts) <= site.max_attempts
    assert {invite.cell for invite in attempts} <= set(site.cells[site.classes.index(class_name)])
    for attempt in attempts:
        assert f"X-Call-Class: {class_name}\r\n" in attempt.text
        assert int(re.findall(r"X-Ring-Limit: (\d+)", attempt.text)[0]) <= site.patience_ms
    for first, second in pairwise(attempts):
        assert site.status != 504 or (second.at_s - first.at_s) * 1000 >= site.guard_ms
    if site.status == 200:
        assert (answer.type, answer.parameters[Code.DESCRIPTION]) == (Type.ANSWER, b"sdp-s")
        return
    assert answer.type == Type.RELEASE
    stay_away_ms = answer.parameters.get(Code.STAY_AWAY_MS)
    if answer.cause == Cause.CONGESTION and site.sends_stay_away:
        assert stay_away_ms is not None and 0 < int(stay_away_ms) <= site.most_stay_away_ms
    else:
        assert stay_away_ms is None


@settings(max_examples=4, deadline=None, derandomize=True, database=None)
@given(sites())
def test_a_call_of_an_unknown_class_is_failed_and_not_sent(site: Site) -> None:
    attempts, answer, _ = play(site, "none-of-them")
    assert not attempts
    assert (answer.type, answer.cause) == (Type.RELEASE, Cause.INVALID_SET_UP)
