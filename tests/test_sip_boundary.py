"""A wrong Content-Length never changes a description: every length that is off, by the decoder alone."""

from __future__ import annotations

import pytest

from pearloom.core.errors import Malformed
from pearloom.sip import codec as sip
from pearloom.sip.boundary import Boundary, boundary_after

DESCRIPTIONS = {
    "an SDP body": b"9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n",
    "no line end": b"9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101",
    "capitals and blanks": b"A B SIP/2.0\r\nBYE SIP/2.0 \r\nSIP/2.0 \r\nACK ",
}
BYE = (
    b"BYE sip:7f3a9c2100000001@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 1111111111111111\r\n"
    b"CSeq: 2 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n"
)
REFUSAL = (
    b"SIP/2.0 503 Service Unavailable\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 2222222222222222\r\n"
    b"CSeq: 1 INVITE\r\nX-Why: acc\r\nContent-Length: 0\r\n\r\n"
)
PART_OF_START_LINE = 11  # bytes of a start line that show it as one ("SIP/2.0 200", "XINFO sip:")


def answer(description: bytes, length: int, call: str = "9b1f03aa5c7e2d41") -> bytes:
    head = f"SIP/2.0 200 OK\r\nCall-ID: {call}\r\nCSeq: 1 INVITE\r\nContent-Length: {length}\r\n\r\n"
    return head.encode() + description


FOLLOWING = {
    "nothing": b"",
    "a release": BYE,
    "a refusal": REFUSAL,
    "an answer": answer(b"v=0\r\n", 5, "3333333333333333"),
    "a request without CSeq": BYE.replace(b"CSeq: 2 BYE\r\n", b""),
    "an unknown request": BYE.replace(b"BYE", b"XINFO"),
    "two releases": BYE + BYE.replace(b"1111111111111111", b"4444444444444444"),
    "a keep-alive": b"\r\n",
}


def decoded_answers(*reads: bytes) -> list[bytes]:
    """Return the descriptions of call 9b1f… that are passed on before the stream can't be read any more."""
    decoder, found = sip.Decoder(), list[bytes]()
    for data in reads:
        for message in decoder.feed(data):
            if isinstance(message, Malformed):
                return found
            if isinstance(message, sip.Response) and message.headers["call-id"] == "9b1f03aa5c7e2d41":
                found.append(message.body)
    return found


@pytest.mark.parametrize("following", FOLLOWING.values(), ids=FOLLOWING)
@pytest.mark.parametrize("description", DESCRIPTIONS.values(), ids=DESCRIPTIONS)
def test_no_wrong_length_changes_a_description(description: bytes, following: bytes) -> None:
    """Guards against an answer that is passed on cut short, or with the beginning of the next message."""
    for length in range(1, len(description) + len(following) + 5):
        if length == len(description) or (following == b"\r\n" and length == len(description) + 2):
            continue  # the latter is a description with an empty last line, for all that a reader can tell
        data = answer(description, length)
        assert decoded_answers(data + following) == [], length
        if length > len(description):
            assert decoded_answers(data, following) == [], length
        if length > len(description) + PART_OF_START_LINE:
            assert decoded_answers(data, *(bytes([byte]) for byte in following)) == [], length


@pytest.mark.parametrize("following", FOLLOWING.values(), ids=FOLLOWING)
@pytest.mark.parametrize("description", DESCRIPTIONS.values(), ids=DESCRIPTIONS)
def test_a_right_length_is_confirmed_however_the_next_message_arrives(
    description: bytes, following: bytes
) -> None:
    """Guards against an answer that is held or dropped for a sound message behind it."""
    if following == FOLLOWING["a keep-alive"] and not description.endswith(b"\r\n"):
        return  # that line end may be the description's own
    data = answer(description, len(description)) + following
    assert decoded_answers(data) == [description]
    assert decoded_answers(*(bytes([byte]) for byte in data)) == [description]


@pytest.mark.parametrize("start_line", [b"BYE sip:7f3a9c21@net SIP/2.0\r\n", b"SIP/2.0 200 OK\r\n"])
def test_a_start_line_is_enough_to_confirm_a_length(start_line: bytes) -> None:
    """Guards against an answer that waits for the rest of a message that a sound server sends in pieces."""
    description = DESCRIPTIONS["an SDP body"]
    assert boundary_after(description, start_line[:-1]) is Boundary.UNDECIDED
    assert boundary_after(description, start_line) is Boundary.CONFIRMED


def test_endless_bytes_behind_a_message_are_not_awaited_for_ever() -> None:
    assert boundary_after(b"v=0\r\n", b"BYE " + b"x" * 20_000) is Boundary.CONTRADICTED
