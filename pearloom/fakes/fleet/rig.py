"""Softswitch processes in zones, with a fake store, coordinator, session servers and callers, and proxies.

All ports are chosen at run time; `close` ends everything that was started here, in whatever state it is.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import gevent
from gevent.threadpool import ThreadPool

from pearloom.core.calls import SetUpRequest
from pearloom.core.config import Address
from pearloom.fakes.callers import BinaryCaller
from pearloom.fakes.coordinator import FakeCoordinator, ListedServer
from pearloom.fakes.etcd import Gateway
from pearloom.fakes.fleet.datagrams import DatagramProxy
from pearloom.fakes.fleet.proxy import Proxy
from pearloom.fakes.iax2_server import Iax2Server
from pearloom.fakes.journal import EntryKind, Journal
from pearloom.fakes.rules import Report, check
from pearloom.fakes.script import ServerProfile
from pearloom.fakes.sip_server import SipServer
from pearloom.fakes.testbed import CLASSES, SETTINGS, START_S, draw_set_up, free_port

ZONES = ("amsterdam", "dublin")
DRIFTED_PROGRAM = (
    "import sys, time; real = time.time; time.time = lambda: real() + {drift};"
    " import pearloom.__main__ as main; sys.exit(main.main())"
)


@dataclass(slots=True)
class Node:
    """One softswitch: its process, and its own proxies to the store and to the coordinator."""

    name: str
    zone: str
    folder: Path
    listen: Address
    management: Address
    store: Proxy
    coordinator: Proxy
    process: subprocess.Popen[bytes] | None = None
    caller: BinaryCaller | None = None
    stopped: bool = False
    drift_s: float = 0.0  # offset of its wall clock, from its next start on

    @property
    def is_running(self) -> bool:
        """Whether its process exists and is not stopped by a signal."""
        return self.process is not None and self.process.poll() is None and not self.stopped

    def log(self) -> str:
        """Return what all its processes so far have logged."""
        path = self.folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""

    def send(self, number: signal.Signals) -> None:
        """Send a signal to its process."""
        assert self.process is not None
        self.process.send_signal(number)
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self.stopped = number is signal.SIGSTOP


@dataclass(slots=True)
class Rig:
    """The fleet with its fakes; seed and script together determine a run."""

    seed: int
    softswitches: int = 3
    servers: int = 3  # for SIP
    iax2_servers: int = 0  # each behind its own proxy, in `datagram_proxies`
    maintenance: Mapping[str, object] = field(default_factory=dict)
    rules: Mapping[str, object] = field(default_factory=dict)
    lease_s: int = 2
    manner: ServerProfile = field(default_factory=lambda: ServerProfile(mean_hold_ms=400.0))
    journal: Journal = field(default_factory=Journal)

    random: Random = field(init=False)
    gateway: Gateway = field(init=False)
    coordinator: FakeCoordinator = field(init=False)
    session_servers: list[SipServer] = field(init=False)
    iax2: list[Iax2Server] = field(init=False)
    datagram_proxies: list[DatagramProxy] = field(init=False)
    nodes: dict[str, Node] = field(init=False)
    _folder: tempfile.TemporaryDirectory[str] = field(init=False)
    _threads: ThreadPool = field(init=False)
    _calls: int = 0
    _excluded_calls: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Start the fakes and proxies; no softswitch runs yet."""
        self.random = Random(self.seed)
        self._threads = ThreadPool(8)
        self._folder = tempfile.TemporaryDirectory(prefix="pearloom-rig-")
        self.gateway = Gateway()
        self.gateway.start()
        self.session_servers = [
            SipServer(self.journal, f"s-0000000{1 + at}", self.manner, self.seed + at)
            for at in range(self.servers)
        ]
        self.iax2 = [
            Iax2Server(self.journal, f"s-0000001{1 + at}", self.manner, self.seed + 50 + at)
            for at in range(self.iax2_servers)
        ]
        self.datagram_proxies = [
            DatagramProxy(fake.address, self.seed + at) for at, fake in enumerate(self.iax2)
        ]
        addresses = [(fake.server, fake.address) for fake in self.session_servers]
        addresses += [
            (fake.server, proxy.address) for fake, proxy in zip(self.iax2, self.datagram_proxies, strict=True)
        ]
        listed = [ListedServer(server, address, cell) for cell, (server, address) in enumerate(addresses)]
        self.coordinator = FakeCoordinator(self.journal, listed)
        self.nodes = {}
        for at in range(self.softswitches):
            name = f"n{1 + at}"
            folder = Path(self._folder.name) / name
            folder.mkdir()
            self.nodes[name] = Node(
                name, ZONES[at % len(ZONES)], folder, ("127.0.0.1", free_port()), ("127.0.0.1", free_port()),
                Proxy(lambda: self.gateway.address, self.random).start(),
                Proxy(lambda: self.coordinator.address, self.random).start(),
            )  # fmt: skip

    @property
    def all_servers(self) -> list[SipServer | Iax2Server]:
        """The servers for SIP, then those for IAX2: in the order of their cells."""
        return [*self.session_servers, *self.iax2]

    def start(self, *names: str) -> None:
        """Start these softswitches (none named: all), and wait until they accept calls."""
        chosen = [self.nodes[name] for name in names or self.nodes]
        before = {node.name: node.log().count("event=started") for node in chosen}
        for node in chosen:
            self._spawn(node)
        for node in chosen:
            self._await_start(node, before[node.name])
            if node.caller is None:
                node.caller = BinaryCaller(self.journal, f"caller-{node.name}", node.listen)

    def _await_start(self, node: Node, before: int) -> None:
        self.wait_until(lambda: node.log().count("event=started") > before, START_S, node.log)

    def _spawn(self, node: Node) -> None:
        config = {
            "name": node.name,
            "listen": "{}:{}".format(*node.listen),
            "management": "{}:{}".format(*node.management),
            "seed": f"{self.random.randrange(1 << 32):x}",
            "coordinator": "{}:{}".format(*node.coordinator.address),
            "known": self.coordinator.cached_list(),
            "limits": {"sockets": 1024, "memory_mb": 192},
            "settings": {**SETTINGS, "fleetSize": self.softswitches, "zones": list(ZONES)},
        }
        operator_file = {
            "store": {"at": ["{}:{}".format(*node.store.address)], "lease_s": self.lease_s, "timeout_ms": 400,
                      "fresh_ms": 1_500},
            "turns": {"zone": node.zone, "beat_ms": 400, **self.maintenance},
            **({"iax2": {"servers": ["s-0000001?"]}} if self.iax2 else {}),
            "rules": {"snapshot": str(node.folder / "rules"), "wait_ms": 500, **self.rules},
        }  # fmt: skip
        (node.folder / "config.json").write_text(json.dumps(config))
        (node.folder / "pearloom.cue").write_text(json.dumps(operator_file))
        program = ["-m", "pearloom"]
        if node.drift_s:
            program = ["-c", DRIFTED_PROGRAM.format(drift=node.drift_s)]
        with (node.folder / "log").open("ab") as log:
            node.process = subprocess.Popen(
                [sys.executable, *program],
                env={**os.environ, "BALANCER_CONFIG": str(node.folder / "config.json"), "TMPDIR": "",
                     "PEARLOOM_FILE": str(node.folder / "pearloom.cue")},
                stderr=log,
            )  # fmt: skip
        node.stopped = False

    def exclude_calls(self, name: str) -> None:
        """Exclude the calls so far of this softswitch, whose process ends or stops now, from the rules."""
        offered = (entry for entry in self.journal.entries if entry.kind is EntryKind.OFFERED)
        self._excluded_calls |= {entry.call for entry in offered if entry.party == f"caller-{name}"}

    def _history(self) -> Journal:
        """Return the journal without the calls that a killed or stopped softswitch had."""
        result = Journal()
        result.entries = [entry for entry in self.journal.entries if entry.call not in self._excluded_calls]
        return result

    def kill(self, name: str) -> None:
        """Send SIGKILL, and wait until the process has ended."""
        node = self.nodes[name]
        self.exclude_calls(name)
        node.send(signal.SIGKILL)
        assert node.process is not None
        self._threads.apply(node.process.wait)

    def wait_until(
        self, holds: Callable[[], bool], most_s: float = 10.0, tell: Callable[[], str] = str
    ) -> float:
        """Wait until `holds` is true; returns the seconds it took. AssertionError with `tell()` if late."""
        began = time.monotonic()
        while not holds():
            if time.monotonic() - began > most_s:
                raise AssertionError(
                    f"the awaited condition did not hold within {most_s:g} s: {tell()[-3000:]}"
                )
            gevent.sleep(0.01)
        return time.monotonic() - began

    def management_call(self, name: str, method: str, path: str, body: object = None) -> tuple[int, str]:
        """Make a management call at this softswitch; returns status and text."""
        host, port = self.nodes[name].management
        data = body if isinstance(body, bytes) else json.dumps(body).encode() if body is not None else None

        def call() -> tuple[int, str]:
            connection = http.client.HTTPConnection(host, port, timeout=8)
            try:
                connection.request(method, path, data)
                answer = connection.getresponse()
                return answer.status, answer.read().decode()
            finally:
                connection.close()

        result: tuple[int, str] = self._threads.apply(call)
        return result

    def request_maintenance(self, at: str, *machines: str, urgent: bool = False) -> list[str]:
        """Request maintenance slots at the softswitch `at`; returns their ids."""
        named = [
            {"kind": "server" if machine.startswith("s-") else "softswitch", "name": machine}
            for machine in machines
        ]
        status, text = self.management_call(
            at, "POST", "/v1/work", {"machines": named, "urgent": urgent, "reason": "kernel"}
        )
        assert status == 200, text
        return [line.split()[0].removeprefix("turn=") for line in text.splitlines()]

    def propose(self, at: str, rules: object, expected: int, **more: object) -> int:
        """Propose rules at the softswitch `at`; returns the new head's number."""
        status, text = self.management_call(
            at, "POST", "/v1/rules", {"expected": expected, "rules": rules, "reason": "a try", **more}
        )
        assert status == 200, text
        return int(text.split()[0].removeprefix("head="))

    def head(self) -> Mapping[str, Any]:
        """Return the rules head from the store."""
        stored = self.gateway.store.range(b"/pearloom/rules/head")
        result: Mapping[str, Any] = (
            json.loads(stored[0].value) if stored else {"number": 0, "version": "none"}
        )
        return result

    def halt_reason(self) -> str:
        """Return why the rollout at the head was halted; empty: it was not."""
        return str((self.head().get("rollout") or {}).get("halted", ""))

    def versions(self) -> Mapping[str, str]:
        """Return the rule version that each softswitch used last, from its log."""
        result = {}
        for name, node in self.nodes.items():
            lines = [
                line for line in node.log().splitlines() if " event=rules" in line and " version=" in line
            ]
            result[name] = lines[-1].split(" version=")[1].split()[0] if lines else ""
        return result

    def _slot(self, slot: str) -> Mapping[str, object]:
        stored = self.gateway.store.range(f"/pearloom/turns/{slot}".encode())
        result: Mapping[str, object] = json.loads(stored[0].value) if stored else {}
        return result

    def phase(self, slot: str) -> str:
        """Return a maintenance slot's phase from the store; empty where the slot does not exist."""
        return str(self._slot(slot).get("phase", ""))

    def machine(self, slot: str) -> str:
        """Return the machine of a maintenance slot; empty where the slot does not exist."""
        return str(self._slot(slot).get("machine", ""))

    def play(self, per_s: float, for_s: float, holds_ms: float = 400.0) -> None:
        """Place calls at the running softswitches, at this rate in total and without waiting for answers."""
        began = time.time()
        for number in range(int(per_s * for_s)):
            gevent.sleep(max(began + number / per_s - time.time(), 0.0))
            ready = [node for node in self.nodes.values() if node.is_running and not self.drained(node)]
            if not ready:
                continue
            with contextlib.suppress(OSError):  # the process has ended, or does not listen yet
                self.place(self.random.choice(ready).name, self.random.expovariate(1.0 / holds_ms))

    def place(self, name: str, holds_ms: float) -> None:
        """Place one call at this softswitch; it is released after `holds_ms` if it is established then."""
        caller = self.nodes[name].caller
        assert caller is not None, "started first"
        caller.place(self._next_set_up(), holds_ms)

    def drained(self, node: Node) -> bool:
        """Whether the softswitch is draining, by its log."""
        log = node.log()
        return log.rfind("event=draining") > max(log.rfind("event=active"), log.rfind("event=started"))

    def _next_set_up(self) -> SetUpRequest:
        self._calls += 1
        description = f"caller {self._calls}".encode()
        return draw_set_up(self.random, self.seed, self._calls, len(self.all_servers), 3_000.0, description)

    def settle(self, most_s: float = 15.0) -> None:
        """Wait until no fake has an open call; AssertionError after `most_s`."""
        self.wait_until(
            lambda: self._history().is_quiet
            and not any(server.established_calls for server in self.all_servers),
            most_s,
        )
        gevent.sleep(0.3)

    def report(self) -> Report:
        """Run the rule checker on the journal, without the excluded calls."""
        allowed = {name: [server.server for server in self.all_servers] for name in CLASSES}
        return check(self._history().entries, allowed, time.time() * 1000.0)

    def close(self) -> None:
        """Stop all processes, proxies and fakes."""
        for node in self.nodes.values():
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
            for part in (node.caller, node.store, node.coordinator):
                if part is not None:
                    part.close()
        for server in self.all_servers:
            server.close()
        for proxy in self.datagram_proxies:
            proxy.close()
        self.coordinator.close()
        self.gateway.close()
        self._folder.cleanup()
