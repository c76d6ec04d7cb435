"""N softswitch processes in zones; a store, a coordinator, session servers, callers, and proxies between.

Everything listens on ports that the system gives; `close` ends all that was started here, whatever it does.
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
DRIFTED = (
    "import sys, time; real = time.time; time.time = lambda: real() + {drift};"
    " import pearloom.__main__ as main; sys.exit(main.main())"
)


@dataclass(slots=True)
class Node:
    """One softswitch: its process, and its own ways to the store and to the coordinator."""

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
    drift_s: float = 0.0  # by so much its wall clock is off from its next start on

    @property
    def is_running(self) -> bool:
        """Is its process there and not stopped?"""
        return self.process is not None and self.process.poll() is None and not self.stopped

    def log(self) -> str:
        """What it has logged in all its lives."""
        path = self.folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""

    def send(self, number: signal.Signals) -> None:
        """Send its process a signal."""
        assert self.process is not None
        self.process.send_signal(number)
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self.stopped = number is signal.SIGSTOP


@dataclass(slots=True)
class Rig:
    """The whole; a run is its seed and its script."""

    seed: int
    softswitches: int = 3
    servers: int = 3  # that speak SIP
    iax2_servers: int = 0  # each behind a proxy of its own for datagrams, in `ways`
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
    _excused: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Set the scene; no softswitch runs yet."""
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
            DatagramProxy(one.address, self.seed + at) for at, one in enumerate(self.iax2)
        ]
        places = [(one.server, one.address) for one in self.session_servers]
        places += [
            (one.server, way.address) for one, way in zip(self.iax2, self.datagram_proxies, strict=True)
        ]
        listed = [ListedServer(server, address, cell) for cell, (server, address) in enumerate(places)]
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
        """Those that speak SIP, then those that speak IAX2: in the order of their cells."""
        return [*self.session_servers, *self.iax2]

    # --- softswitches ---------------------------------------------------------------------------------------
    def start(self, *names: str) -> None:
        """Start these softswitches (all), and wait until they take calls."""
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
        told = {
            "name": node.name,
            "listen": "{}:{}".format(*node.listen),
            "management": "{}:{}".format(*node.management),
            "seed": f"{self.random.randrange(1 << 32):x}",
            "coordinator": "{}:{}".format(*node.coordinator.address),
            "known": self.coordinator.cached_list(),
            "limits": {"sockets": 1024, "memory_mb": 192},
            "settings": {**SETTINGS, "fleetSize": self.softswitches, "zones": list(ZONES)},
        }
        records = {
            "store": {"at": ["{}:{}".format(*node.store.address)], "lease_s": self.lease_s, "timeout_ms": 400,
                      "fresh_ms": 1_500},
            "turns": {"zone": node.zone, "beat_ms": 400, **self.maintenance},
            **({"iax2": {"servers": ["s-0000001?"]}} if self.iax2 else {}),
            "rules": {"snapshot": str(node.folder / "rules"), "wait_ms": 500, **self.rules},
        }  # fmt: skip
        (node.folder / "config.json").write_text(json.dumps(told))
        (node.folder / "pearloom.cue").write_text(json.dumps(records))
        program = ["-m", "pearloom"]
        if node.drift_s:
            program = ["-c", DRIFTED.format(drift=node.drift_s)]
        with (node.folder / "log").open("ab") as log:
            node.process = subprocess.Popen(
                [sys.executable, *program],
                env={**os.environ, "BALANCER_CONFIG": str(node.folder / "config.json"), "TMPDIR": "",
                     "PEARLOOM_FILE": str(node.folder / "pearloom.cue")},
                stderr=log,
            )  # fmt: skip
        node.stopped = False

    def exclude_calls(self, name: str) -> None:
        """Its process ends or stops this moment: no rule holds for the calls that it has now."""
        offered = (one for one in self.journal.entries if one.kind is EntryKind.OFFERED)
        self._excused |= {one.call for one in offered if one.party == f"caller-{name}"}

    def _history(self) -> Journal:
        """What was seen, less the calls that a killed or stopped softswitch had."""
        found = Journal()
        found.entries = [one for one in self.journal.entries if one.call not in self._excused]
        return found

    def kill(self, name: str) -> None:
        """SIGKILL, and wait for its end."""
        node = self.nodes[name]
        self.exclude_calls(name)
        node.send(signal.SIGKILL)
        assert node.process is not None
        self._threads.apply(node.process.wait)

    def wait_until(
        self, holds: Callable[[], bool], most_s: float = 10.0, tell: Callable[[], str] = str
    ) -> float:
        """Wait until it holds; returns the seconds that it took, and fails with what `tell` gives."""
        began = time.monotonic()
        while not holds():
            if time.monotonic() - began > most_s:
                raise AssertionError(f"it did not come about in {most_s:g} s: {tell()[-3000:]}")
            gevent.sleep(0.01)
        return time.monotonic() - began

    # --- operators ------------------------------------------------------------------------------------------
    def management_call(self, name: str, method: str, path: str, body: object = None) -> tuple[int, str]:
        """An operator's call at this softswitch: status and text."""
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

        found: tuple[int, str] = self._threads.apply(call)
        return found

    def request_maintenance(self, at: str, *machines: str, urgent: bool = False) -> list[str]:
        """Ask for turns; returns their ids."""
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
        """Propose rules at this softswitch; returns the head's number after it."""
        status, text = self.management_call(
            at, "POST", "/v1/rules", {"expected": expected, "rules": rules, "reason": "a try", **more}
        )
        assert status == 200, text
        return int(text.split()[0].removeprefix("head="))

    def head(self) -> Mapping[str, Any]:
        """The head of the rules, as the store has it."""
        held = self.gateway.store.range(b"/pearloom/rules/head")
        found: Mapping[str, Any] = json.loads(held[0].value) if held else {"number": 0, "version": "none"}
        return found

    def halt_reason(self) -> str:
        """Why the rollout at the head halted; empty where none has."""
        return str((self.head().get("rollout") or {}).get("halted", ""))

    def versions(self) -> Mapping[str, str]:
        """The version that each softswitch went by last, by its own log."""
        found = {}
        for name, node in self.nodes.items():
            lines = [
                line for line in node.log().splitlines() if " event=rules" in line and " version=" in line
            ]
            found[name] = lines[-1].split(" version=")[1].split()[0] if lines else ""
        return found

    def _turn(self, turn: str) -> Mapping[str, object]:
        held = self.gateway.store.range(f"/pearloom/turns/{turn}".encode())
        found: Mapping[str, object] = json.loads(held[0].value) if held else {}
        return found

    def phase(self, turn: str) -> str:
        """Where a turn stands, as the store has it; empty where it is not there."""
        return str(self._turn(turn).get("phase", ""))

    def machine(self, turn: str) -> str:
        """Whose turn it is; empty where it is not there."""
        return str(self._turn(turn).get("machine", ""))

    # --- calls ----------------------------------------------------------------------------------------------
    def play(self, per_s: float, for_s: float, holds_ms: float = 400.0) -> None:
        """Callers place calls at the softswitches that run, at this rate in all; open loop."""
        began = time.time()
        for number in range(int(per_s * for_s)):
            gevent.sleep(max(began + number / per_s - time.time(), 0.0))
            ready = [node for node in self.nodes.values() if node.is_running and not self.drained(node)]
            if not ready:
                continue
            with contextlib.suppress(OSError):  # its process ended, or has not begun to listen
                self.place(self.random.choice(ready).name, self.random.expovariate(1.0 / holds_ms))

    def place(self, name: str, holds_ms: float) -> None:
        """One call at this softswitch, which its caller releases after so long if it still stands."""
        caller = self.nodes[name].caller
        assert caller is not None, "started first"
        caller.place(self._offer(), holds_ms)

    def drained(self, node: Node) -> bool:
        """Does its front send nobody new, as its log tells?"""
        log = node.log()
        return log.rfind("event=draining") > max(log.rfind("event=active"), log.rfind("event=started"))

    def _offer(self) -> SetUpRequest:
        self._calls += 1
        described = f"caller {self._calls}".encode()
        return draw_set_up(self.random, self.seed, self._calls, len(self.all_servers), 3_000.0, described)

    def settle(self, most_s: float = 15.0) -> None:
        """Wait until nothing stands or is open."""
        self.wait_until(
            lambda: self._history().is_quiet and not any(one.established_calls for one in self.all_servers),
            most_s,
        )
        gevent.sleep(0.3)

    def report(self) -> Report:
        """What the rule checker finds in all that the fakes saw."""
        allowed = {name: [one.server for one in self.all_servers] for name in CLASSES}
        return check(self._history().entries, allowed, time.time() * 1000.0)

    def close(self) -> None:
        """End everything that was started here."""
        for node in self.nodes.values():
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
            for one in (node.caller, node.store, node.coordinator):
                if one is not None:
                    one.close()
        for server in self.all_servers:
            server.close()
        for way in self.datagram_proxies:
            way.close()
        self.coordinator.close()
        self.gateway.close()
        self._folder.cleanup()
