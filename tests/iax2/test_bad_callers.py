"""What IAX2 callers, forged sources and bad files can bring about, against the program itself."""

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
from pearloom.fakes.journal import What
from pearloom.fakes.script import Manner
from pearloom.fakes.stage import Stage
from pearloom.iax2.frames import (
    Element,
    Elements,
    Full,
    Iax,
    Type,
    decode,
    decode_elements,
    encode_full,
    split_description,
)
from tests.iax2.scenes import LONG, SHORT, count, first_choice, played, settled


class Plain:
    """A caller that says only what RFC 5456 asks of it, frame by frame."""

    def __init__(self, stage: Stage) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.connect(stage.iax2_at)
        self.sock.settimeout(4.0)

    def new(self, token: bytes, *more: tuple[int, bytes], number: int = 7) -> bytes:
        elements = [(Element.VERSION, b"\x00\x02"), (Element.CALLED_NUMBER, b"123"),
                    (Element.CALLED_CONTEXT, b"open-form"), *more, (Element.CALLTOKEN, token)]  # fmt: skip
        return encode_full(Full(number, 0, 1, 0, 0, Type.IAX, Iax.NEW, Elements(elements).encode()))

    def token(self) -> bytes:
        self.sock.send(self.new(b""))
        elements = decode_elements(self.hear(Iax.CALLTOKEN).data)
        assert isinstance(elements, Elements)
        return elements.get(Element.CALLTOKEN) or b""

    def hear(self, kind: int, of: Type = Type.IAX) -> Full:
        while True:
            frames = decode(self.sock.recv(65536))
            assert isinstance(frames, list) and isinstance(frames[0], Full)
            if frames[0].type == of and frames[0].subclass == kind:
                return frames[0]


def test_a_plain_caller_is_served_and_a_late_copy_of_its_new_is_no_second_set_up() -> None:
    slow = Manner(after_ms=(300.0, 300.0), holds_ms=60_000.0)
    with played(Stage(19, sip=(), iax2=(slow,))) as stage:
        plain = Plain(stage)
        new = plain.new(plain.token())
        plain.sock.send(new)
        gevent.sleep(0.1)
        plain.sock.send(new)
        answer = plain.hear(4, Type.CONTROL)
        gevent.sleep(0.2)
        assert count(stage, What.SET_UP) == 1
        hang_up = Full(7, answer.source, 9, 1, 2, Type.IAX, Iax.HANGUP)
        plain.sock.send(encode_full(hang_up))
        gevent.sleep(0.2)
        for _ in range(3):
            plain.sock.send(new)
        gevent.sleep(0.3)
        assert count(stage, What.SET_UP) == 1 and stage.iax2[0].standing == 0
        assert stage.counters()["iax2_late_new"] == 3


def test_the_time_that_a_token_took_is_taken_off_the_patience() -> None:
    with played(Stage(20, sip=(), iax2=(Manner(mutes=1.0),))) as stage:
        plain = Plain(stage)
        began = time.time()
        token = plain.token()
        gevent.sleep(0.6)
        plain.sock.send(plain.new(token, (Element.PATIENCE_MS, (1200).to_bytes(4, "big"))))
        plain.hear(Iax.REJECT)
        assert time.time() - began < 1.25


def test_voice_passes_between_iax2_legs_and_is_counted_where_it_can_not() -> None:
    with played(Stage(9, sip=(LONG,), iax2=(LONG,)), binary=0) as stage:
        caller = stage.callers[0]
        assert isinstance(caller, Iax2Caller)
        offers = [stage.offer(), stage.offer()]
        for choice, offer in enumerate(offers):
            offer.first_choice = choice
            caller.place(offer)
        gevent.sleep(0.5)
        for number in range(50):
            for offer in offers:
                caller.say(offer.call, number * 20, bytes(160))
            gevent.sleep(0.002)
        gevent.sleep(0.3)
        assert stage.iax2[0].spoken == caller.spoken == 50, "all reached the server, and its echo the caller"
        assert stage.counters()["media_dropped"] == 50


def test_call_numbers_that_run_out_are_not_used_again_and_their_calls_go_elsewhere() -> None:
    """A trunk with four numbers: each rests after its leg, and what has no number never ran."""
    with played(Stage(16, sip=(SHORT,), iax2=(Manner(holds_ms=100.0),), numbers=4)) as stage:
        for number in range(20):
            first_choice(stage, number % 2, 1, patience_ms=4_000.0)
            gevent.sleep(0.05)
        settled(stage)
        assert count(stage, What.SET_UP, "s-00000011") == 4
        assert count(stage, What.STANDS) > 10, "the server is unreachable for a while, and the other is there"
        assert "iax2_numbers_out" in stage.log()


def test_legs_beyond_the_limit_are_refused_with_a_time_to_come_back() -> None:
    with played(Stage(10, sip=(LONG,), iax2=(), limits={"legs": 5}), binary=0) as stage:
        for _ in range(8):
            stage.callers[0].place(stage.offer())
        gevent.sleep(1.0)
        assert count(stage, What.STANDS) == 5 and count(stage, What.REFUSED) == 3


def test_legs_that_never_say_who_they_are_go_in_time_and_make_room() -> None:
    limits = {"half_open": 3, "half_open_ms": 300}
    with played(Stage(11, sip=(SHORT,), iax2=(), secret="kept between", limits=limits), binary=0) as stage:
        mute = Iax2Caller(stage.journal, "iax-caller", stage.iax2_at, 500, None, "kept between", "127.0.0.2")
        mute._event = lambda leg, event: None  # type: ignore[method-assign]
        mute._datagram = _only_tokens(mute)  # type: ignore[method-assign]
        for _ in range(5):
            mute.place(stage.offer(patience_ms=400.0))
        gevent.sleep(1.0)
        assert stage.counters()["iax2_half_open_dropped"] >= 3
        stage.callers[0].place(stage.offer())
        gevent.sleep(0.6)
        assert count(stage, What.STANDS) == 1
        mute.close()


def _only_tokens(caller: Iax2Caller):  # type: ignore[no-untyped-def]
    whole = caller._datagram

    def some(data: bytes) -> None:
        if len(data) > 11 and data[10] == Type.IAX and data[11] == Iax.CALLTOKEN:
            whole(data)

    return some


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


def test_a_flood_from_forged_sources_leaves_honest_callers_their_service() -> None:
    """20,000 a second: NEWs from 200 addresses that never hear an answer, cut ones, and noise."""
    new = encode_full(Full(7, 0, 1, 0, 0, Type.IAX, Iax.NEW, Elements([
        (Element.VERSION, b"\x00\x02"), (Element.CALLED_NUMBER, b"123"), (Element.CALLTOKEN, b""),
    ]).encode()))  # fmt: skip
    with played(Stage(12, sip=(SHORT, SHORT), iax2=(SHORT, SHORT)), binary=1, iax2=2) as stage:
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
        assert rate > 10_000, "the flood itself was too slow to say anything"
        settled(stage)
        stood, offered = count(stage, What.STANDS), count(stage, What.OFFERED)
        assert stood >= 0.95 * offered, f"{stood} of {offered} at {rate:.0f} a second"
        assert _memory_mb(stage.process.pid) < before + 24


def _memory_mb(pid: int) -> float:
    fields = Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * os.sysconf("SC_PAGESIZE") / 2**20


def test_an_answer_under_another_leg_s_number_is_not_taken() -> None:
    """A peer that knows one leg's number can't speak for it: the socket hears its server alone."""
    with played(Stage(13, sip=(), iax2=(Manner(mutes=1.0),)), iax2=0) as stage:
        stage.callers[0].place(stage.offer(patience_ms=1_500.0))
        gevent.sleep(0.3)
        (leg,) = stage.iax2[0]._legs.values()
        made = Elements(split_description(b"forged")).encode()
        forged = Full(leg.source, leg.transport.destination, 9, 0, 1, Type.CONTROL, 4, made)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.sendto(encode_full(forged), leg.peer[0])
        wrong = Full(leg.source + 1, leg.transport.destination, 9, 0, 1, Type.CONTROL, 4, made)
        stage.iax2[0]._sock.sendto(encode_full(wrong), leg.peer[0])
        settled(stage)
        assert count(stage, What.STANDS) == 0


def test_noise_on_a_trunk_spoils_nothing() -> None:
    with played(Stage(14, sip=(), iax2=(SHORT,))) as stage:
        stage.callers[0].place(stage.offer())
        gevent.sleep(0.3)
        random = Random(1)
        peer = next(iter(stage.iax2[0]._legs.values())).peer[0]
        for _ in range(500):
            stage.iax2[0]._sock.sendto(random.randbytes(random.randrange(60)), peer)
        stage.play(50, 2)
        settled(stage)


def test_nothing_new_is_loaded_without_the_operator_s_file() -> None:
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
    done = subprocess.run(
        [sys.executable, "-c", code], env=environment, capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "[]"


@pytest.mark.parametrize("text", ["iax2: {", "iax2: listne: 1", "other: {}"])
def test_a_file_that_can_not_be_used_is_one_plain_line(text: str) -> None:
    stage = Stage(15, sip=(), iax2=())
    stage.records = lambda: text  # type: ignore[method-assign]
    try:
        with pytest.raises(RuntimeError, match=r"pearloom: \S+pearloom\.cue:1: "):
            stage.start()
        assert stage.process is not None and stage.process.wait(5) == 2
        assert stage.log().count("\n") == 1
    finally:
        stage.close()


def test_an_answer_without_a_description_is_not_passed_on() -> None:
    with played(Stage(21, sip=(SHORT,), iax2=(SHORT,))) as stage:
        stage.iax2[0].nameless = True
        first_choice(stage, 0, 1, patience_ms=4_000.0)
        gevent.sleep(1.0)
        stood = [one for one in stage.journal.entries if one.what is What.STANDS]
        assert [one.description[:10] for one in stood] == [b"s-00000001"]
