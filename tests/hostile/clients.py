"""Hostile peers, run as `python -m tests.hostile.clients KIND HOST:PORT SECONDS CONNECTIONS`.

It opens the connections, sends what KIND names for so long, at full speed or as slowly as KIND says, prints
how many bytes it sent, and ends. It uses the standard library alone.
"""

from __future__ import annotations

import itertools
import select
import socket
import struct
import sys
import time
from collections.abc import Callable, Iterator

SET_UP, RELEASE, RELEASE_COMPLETE, TEST, UNKNOWN_TYPE = 1, 12, 16, 52, 99
PATIENCE_MS = b"3000"
BYTES_PER_WRITE = 32 * 1024
LARGE_BYTES = 15_000
SHORT_FIELDS = 5_400  # parameters of no bytes that fit one message
SLOW_WRITE_S = 0.05  # between two writes of a slow client
SLOW_BYTES = 24  # in each of them


def message(kind: int, call: int, *parameters: tuple[int, bytes]) -> bytes:
    """Encode a binary message."""
    body = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in parameters)
    return struct.pack(">HBQ", 9 + len(body), kind, call) + body


def set_up(
    call: int, number: bytes, class_name: bytes = b"open-form", description: bytes = b"x" * 60
) -> bytes:
    """Encode a set-up."""
    attributes = b"dest:0;width:1;via:-1"
    return message(
        SET_UP, call, (3, class_name), (6, PATIENCE_MS), (15, number), (18, attributes), (48, description)
    )


def _calls(seed: int) -> Iterator[int]:
    return itertools.count((seed + 1) << 32)


def tests(seed: int) -> Iterator[bytes]:
    """Yield tests."""
    return (message(TEST, call, (45, b"\0")) for call in _calls(seed))


def unknown_types(seed: int) -> Iterator[bytes]:
    """Yield messages of an unknown type."""
    return (message(UNKNOWN_TYPE, call) for call in _calls(seed))


def malformed(seed: int) -> Iterator[bytes]:
    """Yield messages with a parameter that is cut short."""
    return (struct.pack(">HBQB", 10, SET_UP, call, 3) for call in _calls(seed))


def unknown_classes(seed: int) -> Iterator[bytes]:
    """Yield set-ups of ever new classes."""
    return (set_up(call, b"31", b"class-%d" % call) for call in _calls(seed))


def set_ups(seed: int) -> Iterator[bytes]:
    """Yield sound set-ups to ever new numbers."""
    return (set_up(call, b"31%d" % call) for call in _calls(seed))


def large_set_ups(seed: int) -> Iterator[bytes]:
    """Yield sound set-ups with a large description."""
    return (set_up(call, b"31%d" % call, description=b"x" * LARGE_BYTES) for call in _calls(seed))


def unknown_releases(seed: int) -> Iterator[bytes]:
    """Yield releases of calls that nobody knows."""
    return (message(RELEASE, call, (45, b"\x10")) for call in _calls(seed))


def confirmations(seed: int) -> Iterator[bytes]:
    """Yield confirmations of releases that were never sent."""
    return (message(RELEASE_COMPLETE, call) for call in _calls(seed))


def withdrawn_set_ups(seed: int) -> Iterator[bytes]:
    """Yield set-ups that are withdrawn at once."""
    for call in _calls(seed):
        yield set_up(call, b"31%d" % call) + message(RELEASE, call, (45, b"\x10"))


def short_fields(seed: int) -> Iterator[bytes]:
    """Yield set-ups of thousands of parameters without a value."""
    fields = [(code % 256, b"") for code in range(SHORT_FIELDS)]
    return (message(SET_UP, call, *fields) for call in _calls(seed))


def sip_options(seed: int) -> Iterator[bytes]:
    """Yield OPTIONS requests."""
    for call in _calls(seed):
        yield (
            b"OPTIONS sip:a@net SIP/2.0\r\nCall-ID: %016x\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
            % call
        )


def sip_unknown_releases(seed: int) -> Iterator[bytes]:
    """Yield BYEs of calls that nobody knows."""
    for call in _calls(seed):
        yield b"BYE sip:a@net SIP/2.0\r\nCall-ID: %016x\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n" % call


def sip_short_fields(seed: int) -> Iterator[bytes]:
    """Yield requests with thousands of short headers."""
    headers = b"".join(b"%x:\r\n" % number for number in range(2_000))
    for call in _calls(seed):
        yield b"NOTIFY sip:a@net SIP/2.0\r\nCall-ID: %016x\r\n%sContent-Length: 0\r\n\r\n" % (call, headers)


def sip_unknown_answers(seed: int) -> Iterator[bytes]:
    """Yield answers to set-ups that nobody sent."""
    for call in _calls(seed):
        yield b"SIP/2.0 200 OK\r\nCall-ID: %016x\r\nCSeq: 1 INVITE\r\nContent-Length: 2\r\n\r\nxx" % call


def http_short_fields(seed: int) -> Iterator[bytes]:
    """Yield HTTP requests of a great many short header fields."""
    request = b"GET /v1/readyz?%d HTTP/1.1\r\n" + b"a:\r\n" * 1_500 + b"\r\n"
    return (request % call for call in _calls(seed))


STREAMS: dict[str, Callable[[int], Iterator[bytes]]] = {
    stream.__name__: stream
    for stream in (
        tests, unknown_types, malformed, unknown_classes, set_ups, large_set_ups, unknown_releases,
        confirmations, withdrawn_set_ups, short_fields, sip_options, sip_unknown_releases, sip_short_fields,
        sip_unknown_answers, http_short_fields,
    )
}  # fmt: skip


class Peer:
    """One connection that sends a stream of messages."""

    def __init__(self, sock: socket.socket, stream: Iterator[bytes]) -> None:
        self.sock, self._stream = sock, stream
        self._pending = b""
        self.sent_bytes = 0
        self.is_open = True

    def write(self, most_bytes: int | None = None) -> None:
        """Send as much as the system takes, `most_bytes` at most."""
        if not self._pending:
            while len(self._pending) < BYTES_PER_WRITE:
                self._pending += next(self._stream)
        self._attempt(lambda: self._send(most_bytes))

    def _send(self, most_bytes: int | None) -> None:
        sent = self.sock.send(self._pending[:most_bytes])
        self._pending = self._pending[sent:]
        self.sent_bytes += sent

    def read(self) -> None:
        """Read what has arrived."""
        self._attempt(self._receive)

    def _receive(self) -> None:
        self.is_open = bool(self.sock.recv(1 << 18))

    def _attempt(self, action: Callable[[], None]) -> None:
        try:
            action()
        except BlockingIOError:
            pass
        except OSError:
            self.is_open = False


def run_at_full_speed(peers: list[Peer], until_s: float, reads: bool) -> None:
    """Send without pause, and read what comes back if `reads`."""
    while time.monotonic() < until_s and (peers := [peer for peer in peers if peer.is_open]):
        by_sock = {peer.sock: peer for peer in peers}
        readable, writable, _ = select.select(by_sock if reads else (), by_sock, (), 0.05)
        for sock in readable:
            by_sock[sock].read()
        for sock in writable:
            by_sock[sock].write()


def run_slowly(peers: list[Peer], until_s: float) -> None:
    """Send a few bytes now and then on each connection."""
    while time.monotonic() < until_s:
        for peer in peers:
            if peer.is_open:
                peer.write(SLOW_BYTES)
        time.sleep(SLOW_WRITE_S)


def run_stopped(peers: list[Peer], until_s: float) -> None:
    """Send half of a large message at once, and nothing more."""
    for peer in peers:
        peer.write(LARGE_BYTES // 2)
    time.sleep(max(until_s - time.monotonic(), 0.0))


def main() -> None:
    """Run until the time is over."""
    kind, address, seconds, connections = sys.argv[1:5]
    stream_name, _, manner = kind.partition(":")
    host, port = address.split(":")
    peers = []
    for number in range(int(connections)):
        sock = socket.create_connection((host, int(port)), timeout=5.0)
        sock.setblocking(False)
        peers.append(Peer(sock, STREAMS[stream_name](number)))
    until_s = time.monotonic() + float(seconds)
    if manner == "slow":
        run_slowly(peers, until_s)
    elif manner == "stopped":
        run_stopped(peers, until_s)
    else:
        run_at_full_speed(peers, until_s, reads=manner != "unread")
    still_open = sum(peer.is_open for peer in peers)
    print(f"sent_bytes={sum(peer.sent_bytes for peer in peers)} open={still_open}")


if __name__ == "__main__":
    main()
