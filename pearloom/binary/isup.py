"""Codec of the binary messages that callers and softswitches exchange: bytes in, values out.

message   = length:2 type:1 call:8 parameters      length counts all that follows it; big-endian
parameter = code:1 length:2 value
"""

from __future__ import annotations

import struct
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum

from pearloom.core.errors import Malformed

MOST_BYTES = 16 * 1024
_LENGTH = struct.Struct(">H")
_HEAD = struct.Struct(">HB8s")
_PARAMETER = struct.Struct(">BH")
_LEAST_LENGTH = 9  # type and call


class Type(IntEnum):
    """Message types, by their usual names."""

    SET_UP = 1  # IAM
    PROGRESS = 6  # ACM, CPG
    ANSWER = 9  # ANM
    RELEASE = 12  # REL
    RELEASE_COMPLETE = 16  # RLC
    GROUP_STATE = 43
    TEST = 52
    TESTED = 53


class Code(IntEnum):
    """Parameter codes."""

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
    """One message; where a parameter came twice, the last one counts."""

    type: int
    call: str
    parameters: Mapping[int, bytes] = field(default_factory=dict)

    def text(self, code: Code, absent: str | None = None) -> str | None:
        """A text parameter, `absent` where it is not there, None where it is not ASCII."""
        value = self.parameters.get(code)
        if value is None:
            return absent
        return value.decode("ascii") if value.isascii() else None

    @property
    def cause(self) -> int | None:
        """The cause, where one byte of it came."""
        value = self.parameters.get(Code.CAUSE, b"")
        return value[0] if len(value) == 1 else None


def encode(message: Message) -> bytes:
    """The message's bytes."""
    parameters = b"".join(
        _PARAMETER.pack(code, len(value)) + value for code, value in message.parameters.items()
    )
    return _HEAD.pack(_LEAST_LENGTH + len(parameters), message.type, bytes.fromhex(message.call)) + parameters


class Decoder:
    """Cuts a byte stream into messages, however the bytes are split over reads."""

    def __init__(self) -> None:
        """Start between two messages."""
        self._buffer = bytearray()

    @property
    def inside(self) -> bool:
        """Has a message begun that is not whole yet?"""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Message | Malformed]:
        """Take bytes and return what they complete; nothing follows a fatal value."""
        self._buffer += data
        found: list[Message | Malformed] = []
        at = 0
        while len(self._buffer) - at >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer, at)
            if not _LEAST_LENGTH <= length <= MOST_BYTES - _LENGTH.size:
                # Guards against reading on after a length that cannot be: the next boundary is unknown.
                found.append(Malformed(f"length {length}", fatal=True))
                break
            end = at + _LENGTH.size + length
            if len(self._buffer) < end:
                break
            found.append(_message(bytes(self._buffer[at:end])))
            at = end
        del self._buffer[:at]
        return found


def _message(frame: bytes) -> Message | Malformed:
    _, kind, call = _HEAD.unpack_from(frame)
    parameters: dict[int, bytes] = {}
    at = _HEAD.size
    while at < len(frame):
        if len(frame) - at < _PARAMETER.size:
            return Malformed("a parameter is cut short", fatal=False, call=call.hex())
        code, length = _PARAMETER.unpack_from(frame, at)
        at += _PARAMETER.size
        if len(frame) - at < length:
            return Malformed(f"parameter {code} is longer than its message", fatal=False, call=call.hex())
        parameters[code] = frame[at : at + length]
        at += length
    return Message(kind, call.hex(), parameters)
