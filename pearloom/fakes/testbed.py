"""A small installation on loopback: coordinator, session servers, a softswitch process, and callers."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from random import Random, SystemRandom

import gevent
from gevent import socket

from pearloom.core.calls import SetUpRequest
from pearloom.core.config import Address
from pearloom.fakes.callers import BinaryCaller, Iax2Caller
from pearloom.fakes.coordinator import FakeCoordinator, ListedServer
from pearloom.fakes.iax2_server import Iax2Server
from pearloom.fakes.journal import Journal
from pearloom.fakes.rules import Report, check
from pearloom.fakes.script import Faults, ServerProfile
from pearloom.fakes.sip_server import SipServer

CLASSES = ("open-form", "save-answers")
SECOND_CLASS_SHARE = 0.22  # of all calls
SETTINGS: dict[str, object] = {
    "fleetSize": 1,
    "guarantees": {"answerSlackUs": 20_000, "coldShare": 0.34, "fallMultiple": 2.0, "fallUs": 1_500_000,
                   "warmAfterUs": 14_000_000, "drainGraceUs": 250_000},
    "limits": {"maxAttempts": 4, "mayCancel": True, "retryAfter": True, "dialTimeoutUs": 1_000_000},
    "roundUs": 5_000,
    "services": [
        {"name": CLASSES[0], "aimUs": 2_000_000, "deadlineUs": 9_000_000, "importance": 1},
        {"name": CLASSES[1], "aimUs": 1_500_000, "deadlineUs": 9_000_000, "importance": 3},
    ],
    "specifics": {"guardUs": 300_000},
}  # fmt: skip
START_S = 15.0
_PORTS = SystemRandom()
_GIVEN_PORTS: set[int] = set()  # by `free_port` in this process


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free now, for a process that will listen on it a moment later.

    The port is below 32768: the system gives those from there on to connections opened in between. No port is
    given twice."""
    while True:
        port = _PORTS.randrange(12_000, 32_000)
        if port in _GIVEN_PORTS:
            continue
        _GIVEN_PORTS.add(port)
        with socket.socket(socket.AF_INET, kind) as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


def draw_set_up(
    random: Random, seed: int, number: int, servers: int, patience_ms: float, description: bytes
) -> SetUpRequest:
    """Draw class, dialled number and first choice of call `number` of the run with this seed."""
    class_index = int(random.random() < SECOND_CLASS_SHARE)
    return SetUpRequest(
        call=f"{seed & 0xFFFF:04x}{number:012x}",
        class_index=class_index,
        class_name=CLASSES[class_index],
        number=f"31{random.randrange(10**9):09d}",
        description=description,
        patience_ms=patience_ms,
        first_choice=random.randrange(servers),
    )


class Testbed:
    """Starts the fakes and a softswitch, places calls, and checks the journal."""

    __test__ = False  # keeps pytest from collecting the class for its name

    def __init__(
        self,
        seed: int,
        sip: Sequence[ServerProfile] = (ServerProfile(), ServerProfile()),
        iax2: Sequence[ServerProfile] = (ServerProfile(), ServerProfile()),
        faults: Faults | None = None,
        secret: str = "",
        limits: Mapping[str, float] | None = None,
        numbers: int = 0,
        memory_mb: float = 192.0,
        descriptors: int = 1024,
    ) -> None:
        """Start a server for each profile, those for SIP first; `faults` apply to every IAX2 path.

        `numbers`: how many call numbers each of the softswitch's sockets has; 0: all. `memory_mb` and
        `descriptors`: the limits that the configuration names."""
        self.random, self.journal, self.seed = Random(seed), Journal(), seed
        self._faults, self._secret, self._limits = faults, secret, dict(limits or {})
        self.sip = [
            SipServer(self.journal, f"s-0000000{1 + n}", profile, seed + n) for n, profile in enumerate(sip)
        ]
        self.iax2 = [
            Iax2Server(self.journal, f"s-0000001{1 + n}", profile, seed + 50 + n, faults, secret)
            for n, profile in enumerate(iax2)
        ]
        self.servers: list[SipServer | Iax2Server] = [*self.sip, *self.iax2]
        listed = [
            ListedServer(server.server, server.address, cell) for cell, server in enumerate(self.servers)
        ]
        self.coordinator = FakeCoordinator(self.journal, listed)
        self.allowed = {name: [server.server for server in self.servers] for name in CLASSES}
        self.binary_at: Address = ("127.0.0.1", free_port())
        self.iax2_at: Address = ("127.0.0.1", free_port(socket.SOCK_DGRAM))
        self.management: Address = ("127.0.0.1", free_port())
        self._folder = tempfile.TemporaryDirectory(prefix="pearloom-stage-")
        self._numbers = numbers
        self._process_limits = {"sockets": descriptors, "memory_mb": memory_mb}
        self.process: subprocess.Popen[bytes] | None = None
        self.callers: list[BinaryCaller | Iax2Caller] = []
        self._calls = 0

    def records(self) -> str:
        """Return the text of the operator's file."""
        iax2: dict[str, object] = {"listen": "{}:{}".format(*self.iax2_at), "servers": ["s-0000001?"]}
        if self._secret:
            iax2["secrets"] = {"iax-caller": self._secret}
            iax2["server_secrets"] = {server.server: self._secret for server in self.iax2}
        if self._limits:
            iax2["limits"] = self._limits
        return json.dumps({"iax2": iax2})

    def start(self) -> None:
        """Start the softswitch and wait until it accepts calls."""
        folder = Path(self._folder.name)
        config = {
            "name": "n1",
            "listen": "{}:{}".format(*self.binary_at),
            "management": "{}:{}".format(*self.management),
            "seed": f"{self.seed:x}",
            "coordinator": "{}:{}".format(*self.coordinator.address),
            "known": self.coordinator.cached_list(),
            "limits": self._process_limits,
            "settings": SETTINGS,
        }
        (folder / "config.json").write_text(json.dumps(config))
        (folder / "pearloom.cue").write_text(self.records())
        program = ["-m", "pearloom"]
        if self._numbers:
            patch = f"import sys, pearloom.iax2.legs as legs; legs.NO_LEG = {self._numbers + 1}"
            program = ["-c", f"{patch}; import pearloom.__main__ as main; sys.exit(main.main())"]
        self._log = (folder / "log").open("wb")
        self.process = subprocess.Popen(
            [sys.executable, *program],
            env={**os.environ, "BALANCER_CONFIG": str(folder / "config.json"), "TMPDIR": self._folder.name,
                 "PEARLOOM_FILE": str(folder / "pearloom.cue")},
            stderr=self._log,
        )  # fmt: skip
        until = time.time() + START_S
        while b"event=started" not in (folder / "log").read_bytes():
            if time.time() > until or self.process.poll() is not None:
                raise RuntimeError("the softswitch did not start: " + self.log()[-2000:])
            gevent.sleep(0.02)

    def log(self) -> str:
        """Return the softswitch's log so far."""
        return (Path(self._folder.name) / "log").read_text(errors="replace")

    def counters(self) -> dict[str, int]:
        """Make the softswitch log its counters, and return them."""
        assert self.process is not None
        before = self.log().count("event=counters")
        self.process.send_signal(signal.SIGUSR1)
        for _ in range(200):
            gevent.sleep(0.01)
            lines = [line for line in self.log().splitlines() if "event=counters" in line]
            if len(lines) > before:
                pairs = (pair.partition("=") for pair in lines[-1].split())
                return {name: int(value) for name, _, value in pairs if value.isdigit()}
        raise RuntimeError("the softswitch logged no counters")

    def add_callers(self, binary: int, iax2: int) -> None:
        """Add callers of both protocols."""
        for _ in range(binary):
            self.callers.append(BinaryCaller(self.journal, f"binary-{len(self.callers)}", self.binary_at))
        for _ in range(iax2):
            number = len(self.callers)
            self.callers.append(
                Iax2Caller(
                    self.journal,
                    "iax-caller",
                    self.iax2_at,
                    self.seed + 100 + number,
                    self._faults,
                    self._secret,
                )
            )

    def next_set_up(self, patience_ms: float = 3_000.0, description_bytes: int = 80) -> SetUpRequest:
        """Draw the set-up of the next call."""
        self._calls += 1
        return draw_set_up(
            self.random, self.seed, self._calls, len(self.servers), patience_ms,
            f"caller {self._calls} ".encode().ljust(description_bytes, b"x"),
        )  # fmt: skip

    def play(self, per_s: float, for_s: float, leaves: float = 0.2, patience_ms: float = 3_000.0) -> None:
        """Place calls at this rate from all callers; a share `leaves` of them is released by its caller."""
        began = time.time()
        for number in range(int(per_s * for_s)):
            wait = began + number / per_s - time.time()
            if wait > 0:
                gevent.sleep(wait)
            caller = self.random.choice(self.callers)
            size = 700 if self.random.random() < 0.2 else 80
            holds = self.random.uniform(50.0, 1_500.0) if self.random.random() < leaves else float("inf")
            caller.place(self.next_set_up(patience_ms, size), holds)

    def settle(self, for_s: float) -> bool:
        """Wait at most `for_s` until no fake has an open call; returns whether that was reached."""
        until = time.time() + for_s
        while time.time() < until:
            if self.journal.is_quiet and not any(server.established_calls for server in self.servers):
                gevent.sleep(0.3)
                return True
            gevent.sleep(0.1)
        return False

    def drain(self, server: SipServer | Iax2Server) -> None:
        """Announce through the coordinator that a server drains."""
        self._announce(server, "draining")

    def _announce(self, server: SipServer | Iax2Server, state: str) -> None:
        cell = self.servers.index(server)
        self.coordinator.announce(ListedServer(server.server, server.address, cell, state))

    def report(self, done: bool = True) -> Report:
        """Run the rule checker on the journal."""
        return check(self.journal.entries, self.allowed, time.time() * 1000.0, done)

    def close(self) -> int:
        """Stop the softswitch and all fakes; returns the softswitch's exit code."""
        code = 0
        if self.process is not None:
            self.process.terminate()
            code = self.process.wait(10)
            self._log.close()
        for fake in (*self.callers, *self.servers, self.coordinator):
            fake.close()
        self._folder.cleanup()
        return code
