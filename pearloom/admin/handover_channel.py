"""The connection between the two processes of an upgrade: JSON messages over a Unix socket, one a line."""

from __future__ import annotations

import json
import os
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

from gevent import socket
from gevent.event import Event

READ_BYTES = 64 * 1024
MAX_LINE_BYTES = 4 * 1024 * 1024
Message = dict[str, Any]


def with_short_path(path: Path, operation: Callable[[str], None]) -> None:
    """Call the operation with a short alias of the path.

    Guards against a folder whose name is too long for the address of a Unix socket."""
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        operation(f"/proc/self/fd/{folder}/{path.name}")
    finally:
        os.close(folder)


class Channel:
    """Exchanges JSON messages, one a line, over a connected socket."""

    def __init__(self, sock: socket.socket, rest: bytes = b"") -> None:
        """Take a connected socket and the bytes already read from it."""
        self.sock = sock
        self._rest = rest

    def receive(self) -> Message | None:
        """Return the next message, or None at the end of the stream and after an overlong line."""
        while b"\n" not in self._rest:
            data = self.sock.recv(READ_BYTES)
            if not data or len(self._rest) > MAX_LINE_BYTES:
                return None
            self._rest += data
        line, _, self._rest = self._rest.partition(b"\n")
        message: Message = json.loads(line)
        return message

    def send(self, message: Message) -> None:
        """Write one message."""
        self.sock.sendall(encode(message))


def encode(message: Message) -> bytes:
    """Return the message as one line of JSON."""
    return json.dumps(message, separators=(",", ":")).encode("ascii") + b"\n"


class PeerProcess:
    """The other process of an upgrade, while both run."""

    def __init__(self, channel: Channel) -> None:
        """Take the connection to it."""
        self.channel = channel
        self.outbox: deque[Message] = deque()  # sent with the next report of changes
        self._has_urgent = Event()

    def send_soon(self, message: Message) -> None:
        """Queue a message that does not wait for the next report of changes."""
        self.outbox.append(message)
        self._has_urgent.set()

    def send_until(self, report_s: float) -> None:
        """Send urgent messages as they come, until this reading of the monotonic clock."""
        while (left_s := report_s - time.monotonic()) > 0:
            if self._has_urgent.wait(left_s):
                self._has_urgent.clear()
                self.send_queued()

    def send_queued(self, *more: Message) -> None:
        """Send the queued messages, then the given ones."""
        while self.outbox:
            self.channel.send(self.outbox.popleft())
        for message in more:
            self.channel.send(message)
