"""Codec of IAX2 frames and information elements (RFC 5456, sections 8.1 to 8.7).

    full   = 1 source:15 R destination:15 timestamp:32 oseqno:8 iseqno:8 type:8 C subclass:7 data
    mini   = 0 source:15 timestamp:16 data
    meta   = 0:16 V command:7 command data:8 timestamp:32 entries
    element = code:8 length:8 value

The functions are stateless. For bytes that the format does not allow they return `Malformed` with a reason.
Unknown elements are kept under their number, and readers of a frame skip them.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum

from pearloom.core.errors import Malformed

MAX_DATAGRAM_BYTES = 16 * 1024  # a description of 15 KiB and its headers
CALL_NUMBERS = 1 << 15  # 0 means no call number
VERSION = 2
_FULL = struct.Struct(">HHIBBBB")
_MINI = struct.Struct(">HH")
_META = struct.Struct(">HBBI")
_META_ENTRY = struct.Struct(">HH")
_FLAG_BIT = 0x8000
_NUMBER_MASK = 0x7FFF
_POWER_FLAG = 0x80  # C bit: the subclass is a power of two
_META_TRUNK = 1  # the only meta command that RFC 5456 defines
_HAS_TIMESTAMPS = 1  # flag: each entry has its own timestamp
MAX_ELEMENT_OCTETS = 255  # value of one element


class FrameType(IntEnum):
    """Frame types (8.2)."""

    DTMF = 1
    VOICE = 2
    VIDEO = 3
    CONTROL = 4
    NULL = 5
    IAX = 6
    TEXT = 7
    IMAGE = 8
    HTML = 9
    COMFORT_NOISE = 10


class Control(IntEnum):
    """Subclasses of control frames (8.3)."""

    HANGUP = 1
    RINGING = 3
    ANSWER = 4
    BUSY = 5
    CONGESTION = 8
    PROGRESS = 14
    PROCEEDING = 15


class Iax(IntEnum):
    """Subclasses of IAX frames (8.4)."""

    NEW = 1
    PING = 2
    PONG = 3
    ACK = 4
    HANGUP = 5
    REJECT = 6
    ACCEPT = 7
    AUTHREQ = 8
    AUTHREP = 9
    INVAL = 10
    LAGRQ = 11
    LAGRP = 12
    VNAK = 18
    TXREQ = 22
    TXCNT = 23
    TXACC = 24
    TXREJ = 27
    POKE = 30
    UNSUPPORT = 33
    CALLTOKEN = 40


# Frames outside the sequence of a leg: they take no sequence number and are never retransmitted (7.1).
UNNUMBERED = frozenset(
    int(member) for member in (Iax.ACK, Iax.INVAL, Iax.VNAK, Iax.TXCNT, Iax.TXACC, Iax.CALLTOKEN)
)


class Element(IntEnum):
    """Information elements (8.6); those from 0xE0 on are extensions, see docs/iax2.md."""

    CALLED_NUMBER = 0x01
    CALLED_CONTEXT = 0x05
    USERNAME = 0x06
    CAPABILITY = 0x08
    FORMAT = 0x09
    VERSION = 0x0B
    AUTHMETHODS = 0x0E
    CHALLENGE = 0x0F
    MD5_RESULT = 0x10
    CAUSE = 0x16
    IAX_UNKNOWN = 0x17
    CAUSECODE = 0x2A
    CALLTOKEN = 0x36
    DESCRIPTION = 0xE0
    CALL = 0xE1
    PATIENCE_MS = 0xE2
    FIRST_CHOICE = 0xE3
    AGAIN = 0xE4
    STAY_AWAY_MS = 0xE5
    CIRCUITS = 0xE6


AUTH_MD5 = 2


@dataclass(slots=True)  # not frozen: frozen instances cost twice as much to create
class FullFrame:
    """A full frame; `subclass` is the decoded value, whatever its form on the wire."""

    source: int
    destination: int
    timestamp: int  # ms since the start of the leg, modulo 2**32
    oseq: int
    iseq: int
    type: int
    subclass: int
    data: bytes = b""
    is_retransmitted: bool = False

    @property
    def is_numbered(self) -> bool:
        """Whether the frame takes a sequence number of its leg."""
        return self.type != FrameType.IAX or self.subclass not in UNNUMBERED

    def is_iax(self, subclass: Iax) -> bool:
        """Return whether this is the IAX frame with this subclass."""
        return self.type == FrameType.IAX and self.subclass == subclass


@dataclass(slots=True)
class MiniFrame:
    """A mini frame: voice in the codec of the last full voice frame, with a 16-bit timestamp."""

    source: int
    timestamp: int
    data: bytes


def encode_full(frame: FullFrame) -> bytes:
    """Return the bytes of a full frame; raises ValueError for a subclass that the format can't hold."""
    head = _FULL.pack(
        _FLAG_BIT | frame.source,
        (_FLAG_BIT if frame.is_retransmitted else 0) | frame.destination,
        frame.timestamp & 0xFFFFFFFF,
        frame.oseq,
        frame.iseq,
        frame.type,
        _encode_subclass(frame.subclass),
    )
    return head + frame.data


def mark_retransmitted(data: bytes, iseq: int) -> bytes:
    """Return an encoded full frame for retransmission (7.2.1): with the R bit and the current `iseq`."""
    return b"".join((data[:2], bytes((data[2] | 0x80,)), data[3:9], bytes((iseq,)), data[10:]))


def encode_mini(frame: MiniFrame) -> bytes:
    """Return the bytes of a mini frame."""
    return _MINI.pack(frame.source, frame.timestamp & 0xFFFF) + frame.data


def encode_meta(timestamp: int, minis: Iterable[MiniFrame]) -> bytes:
    """Return a meta frame with several mini frames, each with its own timestamp (8.1.3.2)."""
    entries = b"".join(
        _META_ENTRY.pack(len(mini.data), mini.source) + struct.pack(">H", mini.timestamp & 0xFFFF) + mini.data
        for mini in minis
    )
    return _META.pack(0, _META_TRUNK, _HAS_TIMESTAMPS, timestamp & 0xFFFFFFFF) + entries


def _encode_subclass(value: int) -> int:
    if value < _POWER_FLAG:
        return value
    if value & (value - 1):
        raise ValueError(f"subclass {value} is neither below 128 nor a power of two")
    return _POWER_FLAG | (value.bit_length() - 1)


def decode(data: bytes) -> list[FullFrame | MiniFrame] | Malformed:
    """Return the frames of one datagram: a single frame, or those of a meta frame."""
    if len(data) > MAX_DATAGRAM_BYTES:
        return Malformed("a datagram over 16 KiB", fatal=False)
    if len(data) < _MINI.size:
        return Malformed(f"a datagram of {len(data)} bytes", fatal=False)
    first = data[0] << 8 | data[1]
    if first & _FLAG_BIT:
        return _decode_full(data)
    if first:
        return [MiniFrame(first, data[2] << 8 | data[3], data[_MINI.size :])]
    return _decode_meta(data)


def _decode_full(data: bytes) -> list[FullFrame | MiniFrame] | Malformed:
    if len(data) < _FULL.size:
        return Malformed("a full frame is cut short", fatal=False)
    source, destination, timestamp, oseq, iseq, frame_type, subclass = _FULL.unpack_from(data)
    if not source & _NUMBER_MASK:
        return Malformed("a full frame without a source call number", fatal=False)
    if subclass & _POWER_FLAG:
        # Guards against a shift that makes a number of dozens of digits: subclasses fit in 64 bits.
        if (power := subclass & 0x7F) > 63:
            return Malformed(f"a subclass of 2**{power}", fatal=False)
        subclass = 1 << power
    return [
        FullFrame(
            source & _NUMBER_MASK,
            destination & _NUMBER_MASK,
            timestamp,
            oseq,
            iseq,
            frame_type,
            subclass,
            data[_FULL.size :],
            bool(destination & _FLAG_BIT),
        )
    ]


def _decode_meta(data: bytes) -> list[FullFrame | MiniFrame] | Malformed:
    if len(data) < _META.size:
        return Malformed("a meta frame is cut short", fatal=False)
    _, command, flags, timestamp = _META.unpack_from(data)
    if command != _META_TRUNK:
        return Malformed(f"meta command {command}", fatal=False)
    minis: list[FullFrame | MiniFrame] = []
    at = _META.size
    while at < len(data):
        if len(data) - at < _META_ENTRY.size:
            return Malformed("a meta entry is cut short", fatal=False)
        first, second = _META_ENTRY.unpack_from(data, at)
        at += _META_ENTRY.size
        if flags & _HAS_TIMESTAMPS:
            length, source = first, second
            if len(data) - at < 2:
                return Malformed("a meta entry is cut short", fatal=False)
            timestamp = data[at] << 8 | data[at + 1]
            at += 2
        else:
            source, length = first, second
        if not 0 < source < CALL_NUMBERS or len(data) - at < length:
            return Malformed("a meta entry with an invalid call number or length", fatal=False)
        minis.append(MiniFrame(source, timestamp & 0xFFFF, data[at : at + length]))
        at += length
    return minis


class Elements:
    """The information elements of one frame, in order; `get` returns the last of several with one code."""

    __slots__ = ("_last", "_pairs")

    def __init__(self, pairs: Iterable[tuple[int, bytes]] = ()) -> None:
        """Take the elements as (code, value)."""
        self._pairs = tuple(pairs)
        self._last: dict[int, bytes] | None = None

    def __iter__(self) -> Iterator[tuple[int, bytes]]:
        """Iterate over (code, value), in order."""
        return iter(self._pairs)

    def get(self, code: Element) -> bytes | None:
        """Return the value of an element, or None if it is absent."""
        if self._last is None:
            self._last = dict(self._pairs)
        return self._last.get(code)

    def text(self, code: Element) -> str | None:
        """Return a text element, or None if it is absent or not ASCII."""
        value = self.get(code)
        return value.decode("ascii") if value is not None and value.isascii() else None

    def number(self, code: Element, octets: int) -> int | None:
        """Return an unsigned number of `octets` octets, or None if it is absent or of another size."""
        value = self.get(code)
        return int.from_bytes(value, "big") if value is not None and len(value) == octets else None

    def encode(self) -> bytes:
        """Return the bytes of the elements; raises ValueError for a code or a length above 255."""
        out = bytearray()
        for code, value in self._pairs:
            out.append(code)
            out.append(len(value))
            out += value
        return bytes(out)


def decode_elements(data: bytes) -> Elements | Malformed:
    """Return the elements in a frame's data."""
    pairs: list[tuple[int, bytes]] = []
    at, size = 0, len(data)
    while at < size:
        start = at + 2
        end = start + data[at + 1] if start <= size else size + 1
        if end > size:
            return Malformed(f"element {data[at]} is cut short", fatal=False)
        pairs.append((data[at], data[start:end]))
        at = end
    return Elements(pairs)


# A description may be longer than one element.
_BLOCK_OCTETS = MAX_ELEMENT_OCTETS - 1
MAX_DESCRIPTION_BYTES = 15 * 1024


def split_description(description: bytes) -> list[tuple[int, bytes]]:
    """Return a description as elements, each with its index in front, the first also with the total length.

    RFC 5456 splits an OSP token in the same way: several elements of one code, each with an index."""
    whole = struct.pack(">H", len(description)) + description
    return [
        (Element.DESCRIPTION, bytes((index,)) + whole[at : at + _BLOCK_OCTETS])
        for index, at in enumerate(range(0, len(whole), _BLOCK_OCTETS))
    ]


def join_description(elements: Elements) -> bytes | Malformed | None:
    """Return the description that the elements contain, or None if they contain none.

    Guards against passing on a description with a missing or repeated part."""
    blocks = [value for code, value in elements if code == Element.DESCRIPTION]
    if not blocks:
        return None
    if any(not block or block[0] != index for index, block in enumerate(blocks)):
        return Malformed("parts of a description are missing or out of order", fatal=False)
    whole = b"".join(block[1:] for block in blocks)
    if len(whole) < 2 or len(whole) - 2 != whole[0] << 8 | whole[1] or len(whole) - 2 > MAX_DESCRIPTION_BYTES:
        return Malformed("a description whose length does not fit", fatal=False)
    return whole[2:]
