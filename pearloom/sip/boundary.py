"""Decides whether the bytes behind a SIP message confirm its Content-Length. No I/O.

Guards against passing on a description that was cut short, or that ends with bytes of the next message: on a
stream the length alone separates messages (RFC 3261, 18.3), so a length that is wrong has to be noticed by
what follows it.
"""

from __future__ import annotations

import re
from enum import Enum

MAX_HEAD_BYTES = 16 * 1024  # of the next message
MAX_FOLLOWING_BYTES = MAX_HEAD_BYTES + 1  # that are looked at
LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"
_SERVER_METHODS = rb"(?:BYE|NOTIFY|OPTIONS)"  # that session servers send; none is the end of another
# A start line, or any part of one that can still become one.
_POSSIBLE_START = re.compile(rb"[A-Z]+(/|/2|/2\.|/2\.0)?( |\Z)")
_KNOWN_START_LINE = re.compile(rb"SIP/2\.0 [1-6][0-9]{2}(?: .*)?|" + _SERVER_METHODS + rb" \S+ SIP/2\.0")
_OTHER_REQUEST_LINE = re.compile(rb"([A-Z]+) \S+ SIP/2\.0")
_CSEQ_METHOD = re.compile(rb"\r\ncseq[ \t]*:[ \t]*[0-9]+[ \t]+([A-Z]+)[ \t]*\r\n", re.I)
_KEEP_ALIVES = re.compile(rb"\A(?:\r\n)+")
_START_LINE_WITHIN = re.compile(rb"[A-Z]{3,} sips?:|SIP/2\.0 [1-6][0-9]{2}")  # or its first part


class Boundary(Enum):
    """What the bytes behind a message show about its length."""

    CONFIRMED = "confirmed"  # another message begins there, or nothing follows
    UNDECIDED = "undecided"  # too little has arrived
    CONTRADICTED = "contradicted"


def boundary_after(body: bytes, following: bytes) -> Boundary:
    """Judge the length of a message from its body and all bytes that have arrived behind it.

    Line ends between messages are keep-alives (RFC 5626, 3.5.1), but the line end right behind a body whose
    last line has none is that line's."""
    if _START_LINE_WITHIN.search(body):
        return Boundary.CONTRADICTED  # the length covers the beginning of the next message
    has_open_line = bool(body) and not body.endswith(LINE_END)
    if has_open_line and following.startswith(b"\r"):
        return Boundary.CONTRADICTED
    rest = _KEEP_ALIVES.sub(b"", following, count=1)
    if not rest:
        return Boundary.CONFIRMED
    if rest == b"\r":
        return Boundary.UNDECIDED
    return _judge_start(rest)


def _judge_start(data: bytes) -> Boundary:
    """Judge bytes that have to be the beginning of a message."""
    if not _POSSIBLE_START.match(data):
        return Boundary.CONTRADICTED
    line, has_line_end, _ = data.partition(LINE_END)
    if not has_line_end:
        return _undecided_up_to_limit(data)
    if _KNOWN_START_LINE.fullmatch(line):
        return Boundary.CONFIRMED
    request = _OTHER_REQUEST_LINE.fullmatch(line)
    if request is None:
        return Boundary.CONTRADICTED
    # The end of a method reads as another one ("YE" of "BYE"): CSeq names the method too.
    head_end = data.find(HEAD_END)
    if head_end < 0:
        return _undecided_up_to_limit(data)
    sequence = _CSEQ_METHOD.search(data, 0, head_end + len(LINE_END))
    is_same = sequence is not None and sequence[1] == request[1]
    return Boundary.CONFIRMED if is_same else Boundary.CONTRADICTED


def _undecided_up_to_limit(data: bytes) -> Boundary:
    return Boundary.UNDECIDED if len(data) <= MAX_HEAD_BYTES else Boundary.CONTRADICTED
