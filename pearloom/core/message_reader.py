"""Turns what is read from a connection into messages, a turn of work at a time."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from typing import Generic, Protocol, TypeVar

from pearloom.core.connection import Connection

M = TypeVar("M")
M_co = TypeVar("M_co", covariant=True)


class MessageDecoder(Protocol[M_co]):
    """Decodes a byte stream, one message at a time."""

    @property
    def has_partial_message(self) -> bool:
        """Are there bytes of a message that is still incomplete?"""

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes that no message has been decoded from yet."""

    def add(self, data: bytes) -> None:
        """Add bytes, from which `messages` decodes."""

    def messages(self) -> Iterator[M_co]:
        """Decode one message after the other, as they are asked for."""


class MessageReader(Generic[M]):
    """Reads the messages of one connection, and notes since when one is incomplete."""

    def __init__(self, decoder: MessageDecoder[M], now_ms: Callable[[], float]) -> None:
        """Start at a message boundary; `now_ms`: the time of the exchange's clock."""
        self._decoder, self._now_ms = decoder, now_ms
        self.partial_since_ms = math.inf  # when the message began that is still incomplete

    @property
    def has_partial_message(self) -> bool:
        """Are there bytes of a message that is still incomplete?"""
        return self._decoder.has_partial_message

    def messages(self, data: bytes, connection: Connection) -> Iterator[M]:
        """Yield each message that these bytes complete, when its turn has come, until the connection ends."""
        partial_since_ms, self.partial_since_ms = self.partial_since_ms, math.inf
        decoder = self._decoder
        decoder.add(data)
        left_bytes = decoder.buffered_bytes
        for message in decoder.messages():
            size_bytes, left_bytes = left_bytes - decoder.buffered_bytes, decoder.buffered_bytes
            if not connection.begin_message(size_bytes):
                return
            partial_since_ms = math.inf
            yield message
        if decoder.has_partial_message:
            self.partial_since_ms = min(partial_since_ms, self._now_ms())
