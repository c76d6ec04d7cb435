"""Codecs, settings and the clock, without sockets."""

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
from tests.player import SETTINGS, encode, read
from tests.test_exchanges import RECORDINGS

DECODERS: dict[str, Any] = {"c": isup.Decoder, "s": sip.Decoder, "co": coordinator.Decoder}


def sent(kind: str) -> bytes:
    """All that one kind of peer sends in the recordings of what is well formed."""
    found = b""
    for path in RECORDINGS:
        skipped = any(word in path.stem for word in ("malformed", "long", "half_sent"))
        for who, verb, rest in [] if skipped else read(path):
            if verb == ">" and who.rstrip("0123456789") == kind:
                found += encode(re.sub(r"{a\d}", "7f000001", re.sub(r"{p\d}", "1f90", rest)))
    return found


@pytest.mark.parametrize("kind", DECODERS)
def test_messages_do_not_depend_on_how_reads_are_cut(kind: str) -> None:
    data = sent(kind)
    whole = DECODERS[kind]().feed(data)
    decoder = DECODERS[kind]()
    assert [one for at in range(len(data)) for one in decoder.feed(data[at : at + 1])] == whole
    assert len(whole) > 3 and not any(isinstance(one, Malformed) for one in whole)


@pytest.mark.parametrize("kind", DECODERS)
@given(data=st.lists(st.binary(max_size=200), max_size=20))
def test_no_bytes_raise(kind: str, data: list[bytes]) -> None:
    decoder = DECODERS[kind]()
    for part in data:
        if any(isinstance(one, Malformed) and one.fatal for one in decoder.feed(part)):
            break


@pytest.mark.parametrize("length", ["", "-1", "x", "1e3", "99999"])
def test_a_length_that_cannot_be_is_fatal(length: str) -> None:
    found = sip.Decoder().feed(f"SIP/2.0 200 OK\r\nContent-Length: {length}\r\n\r\n".encode())
    assert isinstance(found[0], Malformed) and found[0].fatal


def test_headers_without_end_are_fatal() -> None:
    found = sip.Decoder().feed(b"SIP/2.0 200 OK\r\n" + b"X: y\r\n" * 3000)
    assert isinstance(found[0], Malformed) and found[0].fatal


@pytest.mark.parametrize(
    ("status", "why", "ending", "full", "no_line"),
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
def test_what_a_refusal_means(status: int, why: str, ending: api.Ending, full: bool, no_line: bool) -> None:
    error = refusal(status, why)
    assert (error.implied_ending(), error.processor_full, error.no_line) == (ending, full, no_line)


@pytest.mark.parametrize(
    ("progress", "ending"),
    [
        (Progress.NOT_DIALLED, api.Ending.NOT_SENT),
        (Progress.CONNECTING, api.Ending.UNREACHABLE),
        (Progress.PARTLY_SENT, api.Ending.UNREACHABLE),
        (Progress.SENT, api.Ending.RESET),
    ],
)
def test_how_far_it_came_decides_what_is_proved(progress: Progress, ending: api.Ending) -> None:
    assert AttemptError(progress, "").implied_ending() is ending


def test_nested_settings_read_like_those_of_the_adapter() -> None:
    params = flatten(SETTINGS)
    assert params["services.1.name"] == "save-answers" and params["limits.mayCancel"] == "true"
    assert params["specifics.skilledPools.count"] == "2" and params["specifics.skilledPools.1"] == "0,1"
    settings = read_settings(params)
    assert [kind.cells for kind in settings.classes] == [(0, 1, 2), (0, 1)]
    assert settings.may_cancel and settings.release_us == 300_000 and settings.fleet_size == 4


def test_the_clock_never_runs_backwards() -> None:
    clock = Clock()
    clock.set_ms(2000.5)
    assert clock.now_ms() == 2000.5
    clock.set_ms(1000.0)
    assert clock.now_ms() == 2000.5
