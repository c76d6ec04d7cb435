"""The connection between the two processes of an upgrade: JSON messages over a Unix socket, one a line."""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

from gevent import socket

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
