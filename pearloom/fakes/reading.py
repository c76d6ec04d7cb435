"""Reads whole messages from a fake's connection until it ends."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Protocol, TypeVar

from gevent import socket

from pearloom.core.errors import Malformed

READ_BYTES = 65536
Message = TypeVar("Message", covariant=True)


class Decoder(Protocol[Message]):
    """Splits a byte stream into messages."""

    def feed(self, data: bytes) -> Sequence[Message | Malformed]:
        """Append received bytes and return the messages that are complete with them."""


def messages(sock: socket.socket, decoder: Decoder[Message]) -> Iterator[Message]:
    """Yield each well-formed message until the connection is closed or fails."""
    try:
        while data := sock.recv(READ_BYTES):
            for message in decoder.feed(data):
                if not isinstance(message, Malformed):
                    yield message
    except OSError:
        return
