"""Codec of the SIP messages that softswitches and session servers exchange: bytes in, values out."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field

from pearloom.core.errors import Malformed

MOST_BYTES = 16 * 1024
_END = b"\r\n\r\n"
_COMPACT = {"i": "call-id", "l": "content-length", "v": "via"}
_CALL = re.compile(r"[0-9a-f]{16}")
_VERSION = "SIP/2.0"
_START = re.compile(rb"[A-Z]+(/|/2|/2\.|/2\.0)?( |\Z)|\r(\n|\Z)")  # how a message, or a part of one, begins


@dataclass(slots=True)
class Request:
    """A request; header names are in lower case."""

    method: str
    number: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(slots=True)
class Response:
    """A response; header names are in lower case."""

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def method(self) -> str:
        """The method that it answers."""
        return self.headers.get("cseq", "").partition(" ")[2].strip().upper()

    @property
    def is_answer(self) -> bool:
        """Does it say that a call stands?"""
        return 200 <= self.status < 300 and self.method == "INVITE"


def call_of(message: Request | Response) -> str | None:
    """The call that a message names, or None where it names none."""
    call = message.headers.get("call-id", "").lower()
    return call if _CALL.fullmatch(call) else None


def reason_cause(request: Request) -> int | None:
    """The Q.850 cause in a Reason header."""
    found = re.fullmatch(r"Q\.850\s*;\s*cause\s*=\s*(\d{1,3})\b.*", request.headers.get("reason", ""), re.I)
    return int(found[1]) if found else None


def encode_request(
    method: str, number: str, call: str, sequence: int, headers: Mapping[str, str], body: bytes = b""
) -> bytes:
    """A request of this softswitch."""
    lines = [
        f"{method} sip:{number}@net {_VERSION}",
        f"Via: {_VERSION}/TCP peer",
        f"Call-ID: {call}",
        f"CSeq: {sequence} {method}",
        *(f"{name}: {value}" for name, value in headers.items()),
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode("ascii") + _END + body


def encode_response(request: Request, status: int, phrase: str) -> bytes:
    """The answer to a request of the other side, with its Via, Call-ID and CSeq."""
    lines = [f"{_VERSION} {status} {phrase}"]
    for name, key in (("Via", "via"), ("Call-ID", "call-id"), ("CSeq", "cseq")):
        if key in request.headers:
            lines.append(f"{name}: {request.headers[key]}")
    return "\r\n".join([*lines, "Content-Length: 0"]).encode("latin-1") + _END


class Decoder:
    """Cuts a byte stream into messages, however the bytes are split over reads."""

    def __init__(self) -> None:
        """Start between two messages."""
        self._buffer = bytearray()

    @property
    def inside(self) -> bool:
        """Has a message begun that is not whole yet?"""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Request | Response | Malformed]:
        """Take bytes and return what they complete; nothing follows a fatal value."""
        self._buffer += data
        found: list[Request | Response | Malformed] = []
        while True:
            while self._buffer.startswith(b"\r\n"):  # keep-alives between messages
                del self._buffer[:2]
            end = self._buffer.find(_END)
            if end < 0 or end > MOST_BYTES:
                if len(self._buffer) > MOST_BYTES:
                    found.append(Malformed("headers over 16 KiB", fatal=True))
                return found
            head = bytes(self._buffer[:end]).decode("latin-1").split("\r\n")
            headers, trouble = _headers(head[1:])
            length = headers.get("content-length", "")
            # Guards against guessing a boundary: without a plain length the rest of the stream is noise.
            if not re.fullmatch(r"[0-9]{1,5}", length) or end + len(_END) + int(length) > MOST_BYTES:
                found.append(Malformed(f"Content-Length {length[:20]!r}", fatal=True))
                return found
            whole = end + len(_END) + int(length)
            if len(self._buffer) < whole:
                return found
            body = bytes(self._buffer[end + len(_END) : whole])
            del self._buffer[:whole]
            if self._buffer and not _START.match(self._buffer):
                # Guards against passing on a description that was cut by a length that does not fit.
                found.append(Malformed(f"{bytes(self._buffer[:20])!r} follows a message", fatal=True))
                return found
            found.append(Malformed(trouble, fatal=False) if trouble else _message(head[0], headers, body))


def _headers(lines: list[str]) -> tuple[dict[str, str], str]:
    """Headers by name, and what is wrong with them."""
    headers: dict[str, str] = {}
    trouble = ""
    for line in lines:
        name, colon, value = line.partition(":")
        key = name.strip().lower()
        key, value = _COMPACT.get(key, key), value.strip()
        if not colon or not key:
            trouble = f"header {line[:40]!r}"
        elif key == "content-length" and headers.get(key, value) != value:
            headers[key] = "two lengths"
        else:
            headers.setdefault(key, value)
    return headers, trouble


def _message(start: str, headers: dict[str, str], body: bytes) -> Request | Response | Malformed:
    words = start.split(" ", 2)
    if len(words) >= 2 and words[0] == _VERSION and re.fullmatch(r"[1-6][0-9]{2}", words[1]):
        return Response(int(words[1]), headers, body)
    if len(words) == 3 and words[2] == _VERSION and words[0].isalpha():
        return Request(words[0].upper(), words[1].partition(":")[2].partition("@")[0], headers, body)
    return Malformed(f"first line {start[:60]!r}", fatal=False)
