"""Codecs, errors of attempts, settings and the clock, without sockets."""

from __future__ import annotations

import re
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearloom import interface as api
from pearloom.binary import isup
from pearloom.core.clock import Clock
from pearloom.core.errors import AttemptError, Malformed, Progress
from pearloom.servers import coordinator
from pearloom.settings import flatten, read_settings
from pearloom.sip import codec as sip
from pearloom.sip.link import refusal
from tests.player import SETTINGS, encode, read_recording
from tests.test_exchanges import RECORDINGS

DECODERS: dict[str, Any] = {"c": isup.Decoder, "s": sip.Decoder, "co": coordinator.Decoder}


def recorded_bytes(peer_type: str) -> bytes:
    """All bytes that one type of peer sends in the well-formed recordings."""
    data = b""
    for path in RECORDINGS:
        is_skipped = any(word in path.stem for word in ("malformed", "long", "half_sent"))
        for peer, verb, rest in [] if is_skipped else read_recording(path):
            if verb == ">" and peer.rstrip("0123456789") == peer_type:
                data += encode(re.sub(r"{a\d}", "7f000001", re.sub(r"{p\d}", "1f90", rest)))
    return data


@pytest.mark.parametrize("peer_type", DECODERS)
def test_messages_do_not_depend_on_how_reads_split_the_stream(peer_type: str) -> None:
    data = recorded_bytes(peer_type)
    messages = DECODERS[peer_type]().feed(data)
    decoder = DECODERS[peer_type]()
    assert [message for at in range(len(data)) for message in decoder.feed(data[at : at + 1])] == messages
    assert len(messages) > 3 and not any(isinstance(message, Malformed) for message in messages)


@pytest.mark.parametrize("peer_type", DECODERS)
@given(data=st.lists(st.binary(max_size=200), max_size=20))
def test_no_bytes_raise_an_exception(peer_type: str, data: list[bytes]) -> None:
    decoder = DECODERS[peer_type]()
    for part in data:
        if any(isinstance(message, Malformed) and message.fatal for message in decoder.feed(part)):
            break


@pytest.mark.parametrize("length", ["", "-1", "x", "1e3", "99999"])
def test_an_impossible_content_length_is_fatal(length: str) -> None:
    messages = sip.Decoder().feed(f"SIP/2.0 200 OK\r\nContent-Length: {length}\r\n\r\n".encode())
    assert isinstance(messages[0], Malformed) and messages[0].fatal


def test_endless_headers_are_fatal() -> None:
    messages = sip.Decoder().feed(b"SIP/2.0 200 OK\r\n" + b"X: y\r\n" * 3000)
    assert isinstance(messages[0], Malformed) and messages[0].fatal


@pytest.mark.parametrize(
    ("status", "why", "ending", "processor_full", "no_line"),
    [
        (503, "acc", api.Ending.FULL, True, False),
        (503, "atb", api.Ending.FULL, False, True),
        (503, "", api.Ending.FULL, False, False),
        (486, "sub", api.Ending.ERROR, False, False),
        (500, "", api.Ending.ERROR, False, False),
        (480, "", api.Ending.NOT_SENT, False, False),
        (504, "acc", api.Ending.RESET, False, False),
        (302, "", api.Ending.ERROR, False, False),
    ],
)
def test_a_refusal_proves_an_ending(
    status: int, why: str, ending: api.Ending, processor_full: bool, no_line: bool
) -> None:
    error = refusal(status, why)
    assert (error.implied_ending(), error.processor_full, error.no_line) == (ending, processor_full, no_line)


@pytest.mark.parametrize(
    ("progress", "ending"),
    [
        (Progress.NOT_DIALLED, api.Ending.NOT_SENT),
        (Progress.CONNECTING, api.Ending.UNREACHABLE),
        (Progress.PARTLY_SENT, api.Ending.UNREACHABLE),
        (Progress.SENT, api.Ending.RESET),
    ],
)
def test_without_an_ending_progress_decides_what_an_error_proves(
    progress: Progress, ending: api.Ending
) -> None:
    assert AttemptError(progress, "").implied_ending() is ending


def test_nested_settings_read_like_the_flat_ones_of_the_adapter() -> None:
    params = flatten(SETTINGS)
    assert params["services.1.name"] == "save-answers" and params["limits.mayCancel"] == "true"
    assert params["specifics.skilledPools.count"] == "2" and params["specifics.skilledPools.1"] == "0,1"
    settings = read_settings(params)
    assert [call_class.cells for call_class in settings.classes] == [(0, 1, 2), (0, 1)]
    assert settings.may_cancel and settings.release_us == 300_000 and settings.fleet_size == 4


def test_the_clock_never_goes_back() -> None:
    clock = Clock()
    clock.set_ms(2000.5)
    assert clock.now_ms() == 2000.5
    clock.set_ms(1000.0)
    assert clock.now_ms() == 2000.5


@pytest.mark.parametrize(("parameters", "is_decoded"), [(isup.MAX_PARAMETERS, True), (5_400, False)])
def test_a_message_of_very_many_parameters_is_malformed(parameters: int, is_decoded: bool) -> None:
    """Guards against a crowd of clients whose messages take milliseconds each to decode."""
    body = b"".join(bytes([99, 0, 0]) for _ in range(parameters))
    frame = (9 + len(body)).to_bytes(2, "big") + bytes([isup.Type.SET_UP]) + bytes(8) + body
    (message,) = isup.Decoder().feed(frame)
    assert isinstance(message, isup.Message) is is_decoded
