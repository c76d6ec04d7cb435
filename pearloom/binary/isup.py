"""Codec of the binary, ISUP-like messages that callers and softswitches exchange; it does no I/O.

message   = length:2 type:1 call:8 parameters      length counts the bytes after itself; big-endian
parameter = code:1 length:2 value
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import IntEnum

from pearloom.core.errors import Malformed

MAX_MESSAGE_BYTES = 16 * 1024
MAX_PARAMETERS = 64  # of a message; the protocol has eight
_LENGTH = struct.Struct(">H")
_HEAD = struct.Struct(">HB8s")
_PARAMETER = struct.Struct(">BH")
_MIN_LENGTH = 9  # a message without parameters: type and call


class Type(IntEnum):
    """Message types; the comments give their ISUP abbreviations."""

    SET_UP = 1  # IAM
    PROGRESS = 6  # ACM, CPG
    ANSWER = 9  # ANM
    RELEASE = 12  # REL
    RELEASE_COMPLETE = 16  # RLC
    GROUP_STATE = 43
    TEST = 52
    TEST_REPLY = 53


class Code(IntEnum):
    """Codes of message parameters."""

    CLASS = 3
    PATIENCE_MS = 6
    TENANT = 9
    NUMBER = 15
    ATTRIBUTES = 18
    STAY_AWAY_MS = 21
    CAUSE = 45
    DESCRIPTION = 48


class Cause(IntEnum):
    """Release causes (Q.850)."""

    NORMAL = 16
    TEMPORARY_FAILURE = 41
    CONGESTION = 42
    INVALID_SET_UP = 96
    UNKNOWN_TYPE = 97


@dataclass(slots=True)
class Message:
    """One message; of a parameter that is repeated, the last value is kept."""

    type: int
    call: str
    parameters: Mapping[int, bytes] = field(default_factory=dict)

    def text(self, code: Code, absent: str | None = None) -> str | None:
        """Return a text parameter: `absent` if the message lacks it, None if its value is not ASCII."""
        value = self.parameters.get(code)
        if value is None:
            return absent
        return value.decode("ascii") if value.isascii() else None

    @property
    def cause(self) -> int | None:
        """The release cause, or None unless the parameter is exactly one byte."""
        value = self.parameters.get(Code.CAUSE, b"")
        return value[0] if len(value) == 1 else None


def encode(message: Message) -> bytes:
    """Encode a message."""
    parameters = b"".join(
        _PARAMETER.pack(code, len(value)) + value for code, value in message.parameters.items()
    )
    return _HEAD.pack(_MIN_LENGTH + len(parameters), message.type, bytes.fromhex(message.call)) + parameters


class Decoder:
    """Decodes a byte stream into messages; the result doesn't depend on how reads split the stream."""

    def __init__(self) -> None:
        """Start at a message boundary."""
        self._buffer = bytearray()

    @property
    def has_partial_message(self) -> bool:
        """Are there bytes of a message that is still incomplete?"""
        return bool(self._buffer)

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes that no message has been decoded from yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Message | Malformed]:
        """Add bytes and return the messages that they complete; a fatal `Malformed` is the last item."""
        self.add(data)
        return list(self.messages())

    def add(self, data: bytes) -> None:
        """Add bytes, from which `messages` decodes."""
        self._buffer += data

    def messages(self) -> Iterator[Message | Malformed]:
        """Decode one message after the other, as they are asked for; a fatal `Malformed` is the last one."""
        while len(self._buffer) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer)
            if not _MIN_LENGTH <= length <= MAX_MESSAGE_BYTES - _LENGTH.size:
                # After an impossible length the start of the next message is unknown.
                yield Malformed(f"message length {length}", fatal=True)
                return
            end = _LENGTH.size + length
            if len(self._buffer) < end:
                return
            frame = bytes(self._buffer[:end])
            del self._buffer[:end]
            yield _decode_message(frame)


def _decode_message(frame: bytes) -> Message | Malformed:
    _, message_type, call = _HEAD.unpack_from(frame)
    parameters: dict[int, bytes] = {}
    offset, count = _HEAD.size, 0
    while offset < len(frame):
        count += 1
        if count > MAX_PARAMETERS:
            # Guards against messages of thousands of empty parameters, which take milliseconds to decode.
            return Malformed(f"over {MAX_PARAMETERS} parameters", fatal=False, call=call.hex())
        if len(frame) - offset < _PARAMETER.size:
            return Malformed("a parameter is cut short", fatal=False, call=call.hex())
        code, length = _PARAMETER.unpack_from(frame, offset)
        offset += _PARAMETER.size
        if len(frame) - offset < length:
            return Malformed(f"parameter {code} is longer than its message", fatal=False, call=call.hex())
        parameters[code] = frame[offset : offset + length]
        offset += length
    return Message(message_type, call.hex(), parameters)
