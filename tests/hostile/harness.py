"""The running program beside hostile peers: its peak memory, and the worst answer of a sound client."""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import gevent
from gevent import socket

from pearloom.core.config import Address
from pearloom.fakes.script import ServerProfile
from pearloom.fakes.testbed import Testbed
from tests.hostile import clients

ROOT = Path(__file__).parent.parent.parent
PROBE_INTERVAL_S = 0.05
SET_UP_EVERY = 4  # of the sound client's messages one is a set-up, the others are tests
ANSWER_TIMEOUT_S = 8.0


@dataclass(slots=True)
class SoundClient:
    """A client that sends a message at a time, and notes how long each answer took."""

    address: Address
    answers_ms: list[float] = field(default_factory=list)
    established: int = 0
    refused: int = 0
    failures: list[str] = field(default_factory=list)
    is_stopping: bool = False

    def run(self) -> None:
        """Send until told to stop."""
        sock = socket.create_connection(self.address, timeout=ANSWER_TIMEOUT_S)
        stream, number = sock.makefile("rb"), 0
        while not self.is_stopping:
            number += 1
            try:
                self._exchange(sock, stream, number)
            except OSError as error:
                self.failures.append(f"message {number}: {error}")
                sock = socket.create_connection(self.address, timeout=ANSWER_TIMEOUT_S)
                stream = sock.makefile("rb")
            gevent.sleep(PROBE_INTERVAL_S)
        sock.close()

    def _exchange(self, sock: socket.socket, stream: object, number: int) -> None:
        call = 0x5000000000000000 + number
        if number % SET_UP_EVERY:
            sock.sendall(clients.message(clients.TEST, call, (45, b"\0")))
        else:
            sock.sendall(clients.set_up(call, b"49%d" % number))
        began_s = time.monotonic()
        while True:
            kind, answered, parameters = _read_message(stream)
            if answered == call:
                break
        self.answers_ms.append((time.monotonic() - began_s) * 1000.0)
        self.established += kind == 9
        self.refused += kind == clients.RELEASE
        if kind == 9:
            sock.sendall(clients.message(clients.RELEASE, call, (45, b"\x10")))

    @property
    def worst_ms(self) -> float:
        """The longest time that an answer took."""
        return max(self.answers_ms, default=0.0)


def _read_message(stream: object) -> tuple[int, int, bytes]:
    head = stream.read(2)  # type: ignore[attr-defined]
    if len(head) < 2:
        raise ConnectionError("closed by the softswitch")
    body = stream.read(int.from_bytes(head, "big"))  # type: ignore[attr-defined]
    return body[0], int.from_bytes(body[1:9], "big"), body[9:]


@contextmanager
def hostile(
    kind: str, address: Address, seconds: float, connections: int = 1
) -> Iterator[subprocess.Popen[str]]:
    """Run hostile peers beside the body; they end by themselves."""
    command = [
        sys.executable,
        "-m",
        "tests.hostile.clients",
        kind,
        "{}:{}".format(*address),
        str(seconds),
        str(connections),
    ]
    process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
    try:
        yield process
    finally:
        while process.poll() is None:
            gevent.sleep(0.05)


def peak_mb(pid: int) -> float:
    """The peak of the process's resident memory, in MB."""
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024.0


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a play showed."""

    peak_mb: float
    worst_ms: float
    answers: int
    established: int
    refused: int
    failures: list[str]
    output: str
    counters: dict[str, int]
    log: str


def play(
    kind: str, seconds: float = 4.0, connections: int = 1, memory_mb: float = 192.0, descriptors: int = 1024,
    at: str = "binary", quiet_s: float = 1.0,
) -> Outcome:  # fmt: skip
    """Run the program with two SIP servers and a sound client beside hostile peers."""
    profile = ServerProfile(delay_ms=(5.0, 20.0), mean_hold_ms=500.0)
    stage = Testbed(47, sip=(profile, profile), iax2=(), memory_mb=memory_mb, descriptors=descriptors)
    stage.start()
    assert stage.process is not None
    client = SoundClient(stage.binary_at)
    running = gevent.spawn(client.run)
    gevent.sleep(quiet_s)
    try:
        address = stage.binary_at if at == "binary" else stage.management
        with hostile(kind, address, seconds, connections) as process:
            pass
        gevent.sleep(quiet_s)
        client.is_stopping = True
        running.join(ANSWER_TIMEOUT_S)
        return Outcome(
            peak_mb(stage.process.pid), client.worst_ms, len(client.answers_ms), client.established,
            client.refused, client.failures, process.stdout.read() if process.stdout else "",
            stage.counters(), stage.log(),
        )  # fmt: skip
    finally:
        stage.close()


def main() -> None:
    """Play `KIND SECONDS CONNECTIONS MEMORY_MB DESCRIPTORS [-v]` and print the figures."""
    kind, seconds, connections, memory_mb, descriptors = sys.argv[1:6]
    shown = play(kind, float(seconds), int(connections), float(memory_mb), int(descriptors))
    print(
        f"{' '.join(sys.argv[1:6])}: peak={shown.peak_mb:.0f} MB worst={shown.worst_ms:.0f} ms "
        f"answers={shown.answers} established={shown.established} refused={shown.refused} "
        f"failures={shown.failures[:3]} {shown.output.strip()[-300:]}"
    )
    if "-v" in sys.argv:
        print(shown.counters, shown.log[-3000:], sep="\n")


if __name__ == "__main__":
    main()
