"""What a fake reads from a connection: whole messages, until the other side ends it."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Protocol, TypeVar

from gevent import socket

from pearloom.core.errors import Malformed

READ_BYTES = 65536
Message = TypeVar("Message", covariant=True)


class Decoder(Protocol[Message]):
    """Cuts a byte stream into messages."""

    def feed(self, data: bytes) -> Sequence[Message | Malformed]:
        """Take bytes and return what they complete."""


def messages(sock: socket.socket, decoder: Decoder[Message]) -> Iterator[Message]:
    """Each message that can be read; ends with the connection, however that comes about."""
    try:
        while data := sock.recv(READ_BYTES):
            for message in decoder.feed(data):
                if not isinstance(message, Malformed):
                    yield message
    except OSError:
        return
