"""Codec of the SIP messages that softswitches and session servers exchange; it does no I/O."""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from pearloom.core.errors import Malformed
from pearloom.sip.boundary import MAX_FOLLOWING_BYTES, Boundary, boundary_after

MAX_MESSAGE_BYTES = 16 * 1024
_HEADERS_END = b"\r\n\r\n"
_COMPACT_FORMS = {"i": "call-id", "l": "content-length", "v": "via"}
_CALL = re.compile(r"[0-9a-f]{16}")
_VERSION = "SIP/2.0"
_KEEP_ALIVES = re.compile(rb"(?:\r\n)+")  # between messages


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
        """The method of the request that this answers, from CSeq."""
        return self.headers.get("cseq", "").partition(" ")[2].strip().upper()

    @property
    def sequence(self) -> int | None:
        """The number of the request that this answers, from CSeq; None if it can't be read."""
        number = self.headers.get("cseq", "").partition(" ")[0]
        return int(number) if re.fullmatch(r"[0-9]{1,10}", number) else None

    @property
    def is_answer(self) -> bool:
        """Is this a final answer that establishes a call?"""
        return 200 <= self.status < 300 and self.method == "INVITE"


def call_of(message: Request | Response) -> str | None:
    """Return the id in a message's Call-ID header, or None if there is no valid one."""
    call = message.headers.get("call-id", "").lower()
    return call if _CALL.fullmatch(call) else None


def reason_cause(request: Request) -> int | None:
    """Return the Q.850 cause in a Reason header, or None if there is none."""
    match = re.fullmatch(r"Q\.850\s*;\s*cause\s*=\s*(\d{1,3})\b.*", request.headers.get("reason", ""), re.I)
    return int(match[1]) if match else None


def encode_request(
    method: str, number: str, call: str, sequence: int, headers: Mapping[str, str], body: bytes = b""
) -> bytes:
    """Encode a request; `sequence` is the number in CSeq."""
    lines = [
        f"{method} sip:{number}@net {_VERSION}",
        f"Via: {_VERSION}/TCP peer",
        f"Call-ID: {call}",
        f"CSeq: {sequence} {method}",
        *(f"{name}: {value}" for name, value in headers.items()),
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode("ascii") + _HEADERS_END + body


def encode_response(request: Request, status: int, phrase: str) -> bytes:
    """Encode a response without a body; Via, Call-ID and CSeq are copied from the request."""
    lines = [f"{_VERSION} {status} {phrase}"]
    for name, key in (("Via", "via"), ("Call-ID", "call-id"), ("CSeq", "cseq")):
        if key in request.headers:
            lines.append(f"{name}: {request.headers[key]}")
    return "\r\n".join([*lines, "Content-Length: 0"]).encode("latin-1") + _HEADERS_END


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

    def feed(self, data: bytes) -> list[Request | Response | Malformed]:
        """Add bytes and return the messages that they complete; a fatal `Malformed` is the last item."""
        self.add(data)
        return list(self.messages())

    def add(self, data: bytes) -> None:
        """Add bytes, from which `messages` decodes."""
        self._buffer += data

    def messages(self) -> Iterator[Request | Response | Malformed]:
        """Decode one message after the other, as they are asked for; a fatal `Malformed` is the last one."""
        while (message := self._next_message()) is not None:
            yield message
            if isinstance(message, Malformed) and message.fatal:
                return

    def _next_message(self) -> Request | Response | Malformed | None:
        """Decode and remove the first message; None if it is incomplete, or its length not confirmed yet."""
        keep_alives = _KEEP_ALIVES.match(self._buffer)
        if keep_alives:
            del self._buffer[: keep_alives.end()]
        end = self._buffer.find(_HEADERS_END)
        if end < 0 or end > MAX_MESSAGE_BYTES:
            is_too_long = len(self._buffer) > MAX_MESSAGE_BYTES
            return Malformed("headers over 16 KiB", fatal=True) if is_too_long else None
        lines = bytes(self._buffer[:end]).decode("latin-1").split("\r\n")
        headers, error = _parse_headers(lines[1:])
        length = headers.get("content-length", "")
        body_start = end + len(_HEADERS_END)
        # Without a plain length the start of the next message is unknown, so nothing more can be read.
        if not re.fullmatch(r"[0-9]{1,5}", length) or body_start + int(length) > MAX_MESSAGE_BYTES:
            return Malformed(f"Content-Length {length[:20]!r}", fatal=True)
        message_end = body_start + int(length)
        if len(self._buffer) < message_end:
            return None
        body = bytes(self._buffer[body_start:message_end])
        following = bytes(self._buffer[message_end : message_end + MAX_FOLLOWING_BYTES])
        boundary = boundary_after(body, following)
        if boundary is Boundary.UNDECIDED:
            return None
        if boundary is Boundary.CONTRADICTED:
            return Malformed(f"Content-Length {length}: {following[:20]!r} follows the body", fatal=True)
        del self._buffer[:message_end]
        return Malformed(error, fatal=False) if error else _parse_message(lines[0], headers, body)


def _parse_headers(lines: list[str]) -> tuple[dict[str, str], str]:
    """Return headers by name in lower case, and an error or an empty string."""
    headers: dict[str, str] = {}
    error = ""
    for line in lines:
        name, colon, value = line.partition(":")
        key = name.strip().lower()
        key, value = _COMPACT_FORMS.get(key, key), value.strip()
        if not colon or not key:
            error = f"header {line[:40]!r}"
        elif key == "content-length" and headers.get(key, value) != value:
            headers[key] = "two lengths"
        else:
            headers.setdefault(key, value)
    return headers, error


def _parse_message(start_line: str, headers: dict[str, str], body: bytes) -> Request | Response | Malformed:
    words = start_line.split(" ", 2)
    if len(words) >= 2 and words[0] == _VERSION and re.fullmatch(r"[1-6][0-9]{2}", words[1]):
        return Response(int(words[1]), headers, body)
    if len(words) == 3 and words[2] == _VERSION and words[0].isalpha():
        return Request(words[0].upper(), words[1].partition(":")[2].partition("@")[0], headers, body)
    return Malformed(f"first line {start_line[:60]!r}", fatal=False)
