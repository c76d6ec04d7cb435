"""Codec of IAX2 frames and information elements: bytes in, values out (RFC 5456, sections 8.1 to 8.7).

    full   = 1 source:15 R destination:15 timestamp:32 oseqno:8 iseqno:8 type:8 C subclass:7 data
    mini   = 0 source:15 timestamp:16 data
    meta   = 0:16 V command:7 command data:8 timestamp:32 entries
    element = code:8 length:8 value

Nothing here has state. What the format does not allow is a `Malformed` value with its reason; elements that
are not known are kept under their number, and whoever reads a frame skips them.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum

from pearloom.core.errors import Malformed

MAX_DATAGRAM_BYTES = 16 * 1024  # of one datagram: a description of 15 KiB and its headers
CALL_NUMBERS = 1 << 15  # of which 0 stands for none
VERSION = 2
_FULL = struct.Struct(">HHIBBBB")
_MINI = struct.Struct(">HH")
_META = struct.Struct(">HBBI")
_PAIR = struct.Struct(">HH")
_HIGH = 0x8000
_LOW = 0x7FFF
_SHIFTED = 0x80  # the subclass is a power of two
_TRUNK = 1  # the one meta command that there is
_STAMPED = 1  # its entries carry a timestamp each
MAX_ELEMENT_OCTETS = 255  # octets of one element


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


# Frames outside the order of a leg: they take no sequence number and are never repeated (7.1).
UNNUMBERED = frozenset(
    int(one) for one in (Iax.ACK, Iax.INVAL, Iax.VNAK, Iax.TXCNT, Iax.TXACC, Iax.CALLTOKEN)
)


class Element(IntEnum):
    """Information elements (8.6); those from 0xE0 on are this project's own, see docs/iax2.md."""

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


@dataclass(slots=True)  # not frozen: those are twice as dear to make
class FullFrame:
    """A full frame; `subclass` is the value that it stands for, whatever its form on the wire."""

    source: int
    destination: int
    timestamp: int  # ms since the leg began, modulo 2**32
    oseq: int
    iseq: int
    type: int
    subclass: int
    data: bytes = b""
    is_retransmitted: bool = False

    @property
    def is_numbered(self) -> bool:
        """Does it take a place in its leg's order?"""
        return self.type != FrameType.IAX or self.subclass not in UNNUMBERED

    def is_iax(self, subclass: Iax) -> bool:
        """Is it this IAX frame?"""
        return self.type == FrameType.IAX and self.subclass == subclass


@dataclass(slots=True)
class MiniFrame:
    """Voice in the codec of the last full voice frame; the low 16 bits of its time."""

    source: int
    timestamp: int
    data: bytes


def encode_full(frame: FullFrame) -> bytes:
    """The frame's bytes."""
    head = _FULL.pack(
        _HIGH | frame.source,
        (_HIGH if frame.is_retransmitted else 0) | frame.destination,
        frame.timestamp & 0xFFFFFFFF,
        frame.oseq,
        frame.iseq,
        frame.type,
        _subclass(frame.subclass),
    )
    return head + frame.data


def mark_retransmitted(data: bytes, iseq: int) -> bytes:
    """The same full frame sent again (7.2.1): the R bit is set, and what has come since is acknowledged."""
    return b"".join((data[:2], bytes((data[2] | 0x80,)), data[3:9], bytes((iseq,)), data[10:]))


def encode_mini(frame: MiniFrame) -> bytes:
    """The frame's bytes."""
    return _MINI.pack(frame.source, frame.timestamp & 0xFFFF) + frame.data


def encode_meta(stamp: int, minis: Iterable[MiniFrame]) -> bytes:
    """Several mini frames of one peer in one datagram, each with its own time (8.1.3.2)."""
    entries = b"".join(
        _PAIR.pack(len(mini.data), mini.source) + struct.pack(">H", mini.timestamp & 0xFFFF) + mini.data
        for mini in minis
    )
    return _META.pack(0, _TRUNK, _STAMPED, stamp & 0xFFFFFFFF) + entries


def _subclass(value: int) -> int:
    if value < _SHIFTED:
        return value
    if value & (value - 1):
        raise ValueError(f"subclass {value} is neither below 128 nor a power of two")
    return _SHIFTED | (value.bit_length() - 1)


def decode(data: bytes) -> list[FullFrame | MiniFrame] | Malformed:
    """The frames of one datagram: one, or those of a meta frame."""
    if len(data) > MAX_DATAGRAM_BYTES:
        return Malformed("a datagram over 16 KiB", fatal=False)
    if len(data) < _MINI.size:
        return Malformed(f"{len(data)} bytes", fatal=False)
    first = data[0] << 8 | data[1]
    if first & _HIGH:
        return _full(data)
    if first:
        return [MiniFrame(first, data[2] << 8 | data[3], data[_MINI.size :])]
    return _meta(data)


def _full(data: bytes) -> list[FullFrame | MiniFrame] | Malformed:
    if len(data) < _FULL.size:
        return Malformed("a full frame is cut short", fatal=False)
    source, destination, stamp, oseq, iseq, kind, subclass = _FULL.unpack_from(data)
    if not source & _LOW:
        return Malformed("a full frame without a source call number", fatal=False)
    if subclass & _SHIFTED:
        # Guards against a shift that makes a number of thousands of digits.
        if (power := subclass & 0x7F) > 63:
            return Malformed(f"a subclass of 2**{power}", fatal=False)
        subclass = 1 << power
    return [
        FullFrame(
            source & _LOW,
            destination & _LOW,
            stamp,
            oseq,
            iseq,
            kind,
            subclass,
            data[_FULL.size :],
            bool(destination & _HIGH),
        )
    ]


def _meta(data: bytes) -> list[FullFrame | MiniFrame] | Malformed:
    if len(data) < _META.size:
        return Malformed("a meta frame is cut short", fatal=False)
    _, command, how, stamp = _META.unpack_from(data)
    if command != _TRUNK:
        return Malformed(f"meta command {command}", fatal=False)
    minis: list[FullFrame | MiniFrame] = []
    at = _META.size
    while at < len(data):
        if len(data) - at < _PAIR.size:
            return Malformed("a meta entry is cut short", fatal=False)
        one, other = _PAIR.unpack_from(data, at)
        at += _PAIR.size
        if how & _STAMPED:
            length, source = one, other
            if len(data) - at < 2:
                return Malformed("a meta entry is cut short", fatal=False)
            stamp = data[at] << 8 | data[at + 1]
            at += 2
        else:
            source, length = one, other
        if not 0 < source < CALL_NUMBERS or len(data) - at < length:
            return Malformed("a meta entry that cannot be", fatal=False)
        minis.append(MiniFrame(source, stamp & 0xFFFF, data[at : at + length]))
        at += length
    return minis


class Elements:
    """The information elements of one frame, in their order; where one came twice, `get` has the last."""

    __slots__ = ("_last", "_pairs")

    def __init__(self, pairs: Iterable[tuple[int, bytes]] = ()) -> None:
        """Elements as (code, value)."""
        self._pairs = tuple(pairs)
        self._last: dict[int, bytes] | None = None

    def __iter__(self) -> Iterator[tuple[int, bytes]]:
        """(code, value), in order."""
        return iter(self._pairs)

    def get(self, code: Element) -> bytes | None:
        """The value of an element, or None."""
        if self._last is None:
            self._last = dict(self._pairs)
        return self._last.get(code)

    def text(self, code: Element) -> str | None:
        """A text element, or None where it is absent or not ASCII."""
        value = self.get(code)
        return value.decode("ascii") if value is not None and value.isascii() else None

    def number(self, code: Element, octets: int) -> int | None:
        """An unsigned number of so many octets, or None where it is absent or of another size."""
        value = self.get(code)
        return int.from_bytes(value, "big") if value is not None and len(value) == octets else None

    def encode(self) -> bytes:
        """The elements' bytes."""
        out = bytearray()
        for code, value in self._pairs:
            # Its own guard too: a code or a value of more than 255 raises a ValueError here.
            out.append(code)
            out.append(len(value))
            out += value
        return bytes(out)


def decode_elements(data: bytes) -> Elements | Malformed:
    """The elements in a frame's data."""
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


# --- descriptions: longer than one element --------------------------------------------------------------
_BLOCK = MAX_ELEMENT_OCTETS - 1
MAX_DESCRIPTION_BYTES = 15 * 1024


def split_description(description: bytes) -> list[tuple[int, bytes]]:
    """A description as elements: each begins with its place, the first one goes on with the whole length.

    Several elements of one code, told apart by a place in front, are what RFC 5456 does for an OSP token."""
    whole = struct.pack(">H", len(description)) + description
    return [
        (Element.DESCRIPTION, bytes((place,)) + whole[at : at + _BLOCK])
        for place, at in enumerate(range(0, len(whole), _BLOCK))
    ]


def join_description(elements: Elements) -> bytes | Malformed | None:
    """The description that the elements carry; None where they carry none.

    Guards against passing on a description of which a part is missing or stands twice."""
    blocks = [value for code, value in elements if code == Element.DESCRIPTION]
    if not blocks:
        return None
    if any(not block or block[0] != place for place, block in enumerate(blocks)):
        return Malformed("parts of a description are missing or out of order", fatal=False)
    whole = b"".join(block[1:] for block in blocks)
    if len(whole) < 2 or len(whole) - 2 != whole[0] << 8 | whole[1] or len(whole) - 2 > MAX_DESCRIPTION_BYTES:
        return Malformed("a description whose length does not fit", fatal=False)
    return whole[2:]
