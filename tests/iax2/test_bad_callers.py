"""Misbehaving IAX2 callers and servers, forged sources and invalid files, against the running program."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from pathlib import Path
from random import Random

import gevent
import pytest
from gevent import socket

from pearloom.fakes.callers import Iax2Caller
from pearloom.fakes.journal import EntryKind
from pearloom.fakes.script import ServerProfile
from pearloom.fakes.testbed import Testbed
from pearloom.iax2.frames import (
    Element,
    Elements,
    FrameType,
    FullFrame,
    Iax,
    decode,
    decode_elements,
    encode_full,
    split_description,
)
from tests.iax2.scenes import LONG, SHORT, assert_settled, count, place_with_first_choice, running_stage


class PlainCaller:
    """A caller that sends only what RFC 5456 requires, frame by frame."""

    def __init__(self, stage: Testbed) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.connect(stage.iax2_at)
        self.sock.settimeout(4.0)

    def new(self, token: bytes, *more: tuple[int, bytes], number: int = 7) -> bytes:
        elements = [(Element.VERSION, b"\x00\x02"), (Element.CALLED_NUMBER, b"123"),
                    (Element.CALLED_CONTEXT, b"open-form"), *more, (Element.CALLTOKEN, token)]  # fmt: skip
        return encode_full(FullFrame(number, 0, 1, 0, 0, FrameType.IAX, Iax.NEW, Elements(elements).encode()))

    def token(self) -> bytes:
        self.sock.send(self.new(b""))
        elements = decode_elements(self.receive(Iax.CALLTOKEN).data)
        assert isinstance(elements, Elements)
        return elements.get(Element.CALLTOKEN) or b""

    def receive(self, subclass: int, frame_type: FrameType = FrameType.IAX) -> FullFrame:
        while True:
            frames = decode(self.sock.recv(65536))
            assert isinstance(frames, list) and isinstance(frames[0], FullFrame)
            if frames[0].type == frame_type and frames[0].subclass == subclass:
                return frames[0]


def test_a_plain_caller_is_served_and_a_late_copy_of_its_new_is_no_second_set_up() -> None:
    slow = ServerProfile(delay_ms=(300.0, 300.0), mean_hold_ms=60_000.0)
    with running_stage(Testbed(19, sip=(), iax2=(slow,))) as stage:
        plain = PlainCaller(stage)
        new = plain.new(plain.token())
        plain.sock.send(new)
        gevent.sleep(0.1)
        plain.sock.send(new)
        answer = plain.receive(4, FrameType.CONTROL)
        gevent.sleep(0.2)
        assert count(stage, EntryKind.SET_UP) == 1
        hangup = FullFrame(7, answer.source, 9, 1, 2, FrameType.IAX, Iax.HANGUP)
        plain.sock.send(encode_full(hangup))
        gevent.sleep(0.2)
        for _ in range(3):
            plain.sock.send(new)
        gevent.sleep(0.3)
        assert count(stage, EntryKind.SET_UP) == 1 and stage.iax2[0].established_calls == 0
        assert stage.counters()["iax2_late_new"] == 3


def test_the_time_of_the_token_exchange_counts_against_the_patience() -> None:
    with running_stage(Testbed(20, sip=(), iax2=(ServerProfile(unanswered_share=1.0),))) as stage:
        plain = PlainCaller(stage)
        began = time.time()
        token = plain.token()
        gevent.sleep(0.6)
        plain.sock.send(plain.new(token, (Element.PATIENCE_MS, (1200).to_bytes(4, "big"))))
        plain.receive(Iax.REJECT)
        assert time.time() - began < 1.25


def test_voice_is_relayed_between_iax2_legs_and_counted_where_it_is_dropped() -> None:
    with running_stage(Testbed(9, sip=(LONG,), iax2=(LONG,)), binary=0) as stage:
        caller = stage.callers[0]
        assert isinstance(caller, Iax2Caller)
        requests = [stage.next_set_up(), stage.next_set_up()]
        for choice, request in enumerate(requests):
            request.first_choice = choice
            caller.place(request)
        gevent.sleep(0.5)
        for number in range(50):
            for request in requests:
                caller.send_voice(request.call, number * 20, bytes(160))
            gevent.sleep(0.002)
        gevent.sleep(0.3)
        assert (
            stage.iax2[0].voice_received == caller.voice_received == 50
        ), "all frames reached the server, and its echo the caller"
        assert stage.counters()["media_dropped"] == 50


def test_call_numbers_that_run_out_are_not_used_again_and_their_calls_go_elsewhere() -> None:
    """A trunk with four call numbers: none is reused soon, and a set-up without a number never ran."""
    with running_stage(
        Testbed(16, sip=(SHORT,), iax2=(ServerProfile(mean_hold_ms=100.0),), numbers=4)
    ) as stage:
        for number in range(20):
            place_with_first_choice(stage, number % 2, 1, patience_ms=4_000.0)
            gevent.sleep(0.05)
        assert_settled(stage)
        assert count(stage, EntryKind.SET_UP, "s-00000011") == 4
        assert (
            count(stage, EntryKind.ESTABLISHED) > 10
        ), "one server is unreachable for a while, and the other takes the calls"
        assert "iax2_numbers_out" in stage.log()


def test_legs_beyond_the_limit_are_refused_with_a_retry_time() -> None:
    with running_stage(Testbed(10, sip=(LONG,), iax2=(), limits={"legs": 5}), binary=0) as stage:
        for _ in range(8):
            stage.callers[0].place(stage.next_set_up())
        gevent.sleep(1.0)
        assert count(stage, EntryKind.ESTABLISHED) == 5 and count(stage, EntryKind.REFUSED) == 3


def test_half_open_legs_are_dropped_in_time_and_make_room() -> None:
    limits = {"half_open": 3, "half_open_ms": 300}
    with running_stage(
        Testbed(11, sip=(SHORT,), iax2=(), secret="kept between", limits=limits), binary=0
    ) as stage:
        silent_caller = Iax2Caller(
            stage.journal, "iax-caller", stage.iax2_at, 500, None, "kept between", "127.0.0.2"
        )
        silent_caller._handle_event = lambda leg, event: None  # type: ignore[method-assign]
        silent_caller._handle_datagram = _receive_only_tokens(silent_caller)  # type: ignore[method-assign]
        for _ in range(5):
            silent_caller.place(stage.next_set_up(patience_ms=400.0))
        gevent.sleep(1.0)
        assert stage.counters()["iax2_half_open_dropped"] >= 3
        stage.callers[0].place(stage.next_set_up())
        gevent.sleep(0.6)
        assert count(stage, EntryKind.ESTABLISHED) == 1
        silent_caller.close()


def _receive_only_tokens(caller: Iax2Caller):  # type: ignore[no-untyped-def]
    receive = caller._handle_datagram

    def filtered(data: bytes) -> None:
        if len(data) > 11 and data[10] == FrameType.IAX and data[11] == Iax.CALLTOKEN:
            receive(data)

    return filtered


FLOOD = """
import socket, sys, time, random
to, until, rate = ("127.0.0.1", int(sys.argv[1])), time.time() + float(sys.argv[2]), float(sys.argv[3])
new = bytes.fromhex(sys.argv[4])
draw = random.Random(1)
socks = []
for number in range(200):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((f"127.1.{number // 250}.{number % 250 + 1}", 0))
    socks.append(sock)
began, sent = time.time(), 0
while time.time() < until:
    for _ in range(20):
        kind = sent % 10
        data = new if kind < 8 else new[: draw.randrange(len(new))] if kind == 8 else draw.randbytes(40)
        try:
            socks[sent % 200].sendto(data, to)
        except OSError:
            pass
        sent += 1
    ahead = sent / rate - (time.time() - began)
    if ahead > 0:
        time.sleep(ahead)
print(sent / (time.time() - began))
"""


def test_genuine_callers_are_served_during_a_flood_from_forged_sources() -> None:
    """20,000 datagrams a second: NEWs from 200 addresses that never reply, truncated NEWs, random bytes."""
    new = encode_full(FullFrame(7, 0, 1, 0, 0, FrameType.IAX, Iax.NEW, Elements([
        (Element.VERSION, b"\x00\x02"), (Element.CALLED_NUMBER, b"123"), (Element.CALLTOKEN, b""),
    ]).encode()))  # fmt: skip
    with running_stage(Testbed(12, sip=(SHORT, SHORT), iax2=(SHORT, SHORT)), binary=1, iax2=2) as stage:
        assert stage.process is not None
        before = _memory_mb(stage.process.pid)
        flood = subprocess.Popen(
            [sys.executable, "-c", FLOOD, str(stage.iax2_at[1]), "6", "20000", new.hex()],
            stdout=subprocess.PIPE, text=True,
        )  # fmt: skip
        try:
            gevent.sleep(0.5)
            stage.play(60, 5, leaves=0.0)
            rate = float(flood.communicate(timeout=20)[0])
        finally:
            flood.kill()
        assert rate > 10_000, "the flood was too slow for a meaningful test"
        assert_settled(stage)
        answered, offered = count(stage, EntryKind.ESTABLISHED), count(stage, EntryKind.OFFERED)
        assert answered >= 0.95 * offered, f"{answered} of {offered} at {rate:.0f} a second"
        assert _memory_mb(stage.process.pid) < before + 24


def _memory_mb(pid: int) -> float:
    fields = Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * os.sysconf("SC_PAGESIZE") / 2**20


def test_an_answer_under_another_leg_s_number_is_ignored() -> None:
    """A peer that knows the numbers of a leg can't send for it: the socket receives only from its server."""
    with running_stage(Testbed(13, sip=(), iax2=(ServerProfile(unanswered_share=1.0),)), iax2=0) as stage:
        stage.callers[0].place(stage.next_set_up(patience_ms=1_500.0))
        gevent.sleep(0.3)
        (leg,) = stage.iax2[0]._legs.values()
        description = Elements(split_description(b"forged")).encode()
        forged = FullFrame(leg.source, leg.transport.destination, 9, 0, 1, FrameType.CONTROL, 4, description)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as foreign:
            foreign.sendto(encode_full(forged), leg.peer[0])
        wrong = FullFrame(
            leg.source + 1, leg.transport.destination, 9, 0, 1, FrameType.CONTROL, 4, description
        )
        stage.iax2[0]._sock.sendto(encode_full(wrong), leg.peer[0])
        assert_settled(stage)
        assert count(stage, EntryKind.ESTABLISHED) == 0


def test_noise_on_a_trunk_breaks_no_call() -> None:
    with running_stage(Testbed(14, sip=(), iax2=(SHORT,))) as stage:
        stage.callers[0].place(stage.next_set_up())
        gevent.sleep(0.3)
        random = Random(1)
        peer = next(iter(stage.iax2[0]._legs.values())).peer[0]
        for _ in range(500):
            stage.iax2[0]._sock.sendto(random.randbytes(random.randrange(60)), peer)
        stage.play(50, 2)
        assert_settled(stage)


def test_optional_modules_are_not_loaded_without_the_operator_s_file() -> None:
    code = (
        "import sys, pearloom.__main__;"
        "print([name for name in sys.modules if name.split('.')[0] in"
        " ('lark', 'cyclopts', 'rich', 'etcd3gw', 'requests', 'msgspec')"
        " or name.startswith(('pearloom.iax2', 'pearloom.records', 'pearloom.installation',"
        " 'pearloom.fakes', 'pearloom.commands', 'pearloom.coordination', 'pearloom.membership',"
        " 'pearloom.maintenance', 'pearloom.admin.fleet', 'pearloom.admin.maintenance',"
        " 'pearloom.admin.members'))])"
    )
    environment = {key: value for key, value in os.environ.items() if key != "PEARLOOM_FILE"}
    result = subprocess.run(
        [sys.executable, "-c", code], env=environment, capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"


@pytest.mark.parametrize("text", ["iax2: {", "iax2: listne: 1", "other: {}"])
def test_a_file_that_can_not_be_used_is_one_plain_line(text: str) -> None:
    stage = Testbed(15, sip=(), iax2=())
    stage.records = lambda: text  # type: ignore[method-assign]
    try:
        with pytest.raises(RuntimeError, match=r"pearloom: \S+pearloom\.cue:1: "):
            stage.start()
        assert stage.process is not None and stage.process.wait(5) == 2
        assert stage.log().count("\n") == 1
    finally:
        stage.close()


def test_an_answer_without_a_description_is_not_passed_on() -> None:
    with running_stage(Testbed(21, sip=(SHORT,), iax2=(SHORT,))) as stage:
        stage.iax2[0].omits_call_id = True
        place_with_first_choice(stage, 0, 1, patience_ms=4_000.0)
        gevent.sleep(1.0)
        answers = [entry for entry in stage.journal.entries if entry.kind is EntryKind.ESTABLISHED]
        assert [entry.description[:10] for entry in answers] == [b"s-00000001"]
