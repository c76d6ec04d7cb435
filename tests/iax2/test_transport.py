"""Order, acknowledgement and repeats of one leg, over channels that lose, double and reorder."""

from __future__ import annotations

from itertools import pairwise
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pearloom.iax2.frames import FrameType, FullFrame, Iax, decode
from pearloom.iax2.transport import MAX_TRIES, MAX_UNACKNOWLEDGED, Transport, Verdict


def frames(transport: Transport) -> list[FullFrame]:
    return [one for data in transport.take_datagrams() for one in decode(data) if isinstance(one, FullFrame)]  # type: ignore[union-attr]


def text(transport: Transport, word: bytes, now: float) -> bool:
    return transport.send(FrameType.TEXT, 0, word, now)


def test_frames_are_repeated_with_growing_gaps_until_confirmed() -> None:
    one, other = Transport(1, 0.0, 2), Transport(2, 0.0, 1)
    text(one, b"a", 0.0)
    times = []
    now = 0.0
    while not one.lost:
        now = one.due_ms()
        one.tick(now)
        times.append(now)
    assert len(times) == MAX_TRIES
    gaps = [later - sooner for sooner, later in pairwise(times)]
    assert gaps == sorted(gaps) and gaps[-1] > 2 * gaps[0]
    sent = frames(one)
    assert [frame.is_retransmitted for frame in sent] == [False] + [True] * (MAX_TRIES - 1)
    assert {frame.oseq for frame in sent} == {0}
    for frame in sent:
        other.receive(frame, now)
    other.send_unnumbered(Iax.ACK, sent[0].timestamp)
    for frame in frames(other):
        one.receive(frame, now)
    assert one.unacknowledged == 0 and one.due_ms() == float("inf")


def test_a_copy_is_acknowledged_and_not_taken_again() -> None:
    one, other = Transport(1, 0.0, 2), Transport(2, 0.0, 1)
    text(one, b"a", 0.0)
    (frame,) = frames(one)
    assert other.receive(frame, 1.0) is Verdict.ACCEPT
    assert other.receive(frame, 2.0) is Verdict.DUPLICATE
    assert [reply.subclass for reply in frames(other)] == [Iax.ACK]


def test_a_gap_is_asked_for_once_and_filled_by_the_peer() -> None:
    one, other = Transport(1, 0.0, 2), Transport(2, 0.0, 1)
    for word in (b"a", b"b", b"c"):
        text(one, word, 0.0)
    first, second, third = frames(one)
    assert (
        other.receive(second, 1.0) is Verdict.OUT_OF_ORDER
        and other.receive(third, 1.0) is Verdict.OUT_OF_ORDER
    )
    (asked,) = frames(other)
    assert asked.is_iax(Iax.VNAK)
    one.receive(asked, 2.0)
    again = frames(one)
    assert [frame.data for frame in again] == [b"a", b"b", b"c"]
    assert [other.receive(frame, 3.0) for frame in (first, *again[1:])] == [Verdict.ACCEPT] * 3


def test_a_repeat_that_became_unwanted_does_not_leave() -> None:
    one = Transport(1, 0.0, 2)
    wanted = [True]
    one.send(FrameType.IAX, Iax.NEW, b"", 0.0, lambda: wanted[0])
    frames(one)
    one.tick(one.due_ms())
    assert len(frames(one)) == 1
    wanted[0] = False
    one.tick(one.due_ms())
    assert frames(one) == [] and one.stopped
    one.prepare_close(5000.0)
    one.send(FrameType.IAX, Iax.HANGUP, b"", 5000.0)
    one.tick(9000.0)
    # The place of the NEW is taken by a PING: the order has no hole, and no work is started.
    assert {(frame.oseq, frame.subclass) for frame in frames(one)} == {(0, Iax.PING), (1, Iax.HANGUP)}


def test_an_acknowledgement_of_long_ago_confirms_nothing() -> None:
    one = Transport(1, 0.0, 2)
    for _ in range(3):
        text(one, b"", 0.0)
    one.receive(FullFrame(2, 1, 0, 0, 200, FrameType.IAX, Iax.ACK), 1.0)
    assert one.unacknowledged == 3
    one.receive(FullFrame(2, 1, 0, 0, 2, FrameType.IAX, Iax.ACK), 1.0)
    assert one.unacknowledged == 1


def test_unconfirmed_frames_are_bounded() -> None:
    one = Transport(1, 0.0, 2)
    assert [text(one, b"", 0.0) for _ in range(MAX_UNACKNOWLEDGED + 1)] == [True] * MAX_UNACKNOWLEDGED + [
        False
    ]


@pytest.mark.parametrize("seed", range(3))
def test_both_numbers_wrap_within_one_leg(seed: int) -> None:
    random = Random(seed)
    one, other = Transport(1, 0.0, 2), Transport(2, 0.0, 1)
    one._last_timestamp = 0xFFFFFFF0  # the time wraps too
    got: list[bytes] = []
    words = [str(number).encode() for number in range(700)]
    now, at = 0.0, 0
    while len(got) < len(words):
        now += 10.0
        if at < len(words) and text(one, words[at], now):
            at += 1
        for sender, receiver in ((one, other), (other, one)):
            for frame in frames(sender):
                if random.random() < 0.05:
                    continue
                if receiver.receive(frame, now) is Verdict.ACCEPT and frame.is_numbered:
                    got.append(frame.data)
                    receiver.send_unnumbered(Iax.ACK, frame.timestamp)
            sender.tick(now)
        assert not one.lost
    assert got == words


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32), st.floats(0.0, 0.4), st.integers(1, 40))
def test_whatever_the_channel_words_come_once_and_in_order_or_the_leg_is_lost(
    seed: int, loss: float, count: int
) -> None:
    random = Random(seed)
    one, other = Transport(1, 0.0, 2), Transport(2, 0.0, 1)
    under_way: list[tuple[float, Transport, FullFrame]] = []
    got: list[bytes] = []
    for number in range(count):
        text(one, str(number).encode(), 0.0)
    now = 0.0
    while not one.lost and (one.unacknowledged or under_way):
        now += 5.0
        for sender, receiver in ((one, other), (other, one)):
            sender.tick(now)
            for frame in frames(sender):
                for _ in range(1 + (random.random() < 0.1)):
                    if random.random() >= loss:
                        under_way.append((now + random.uniform(0, 80), receiver, frame))
        due = [item for item in under_way if item[0] <= now]
        under_way = [item for item in under_way if item[0] > now]
        for _, receiver, frame in due:
            if receiver.receive(frame, now) is Verdict.ACCEPT and frame.is_numbered:
                got.append(frame.data)
                receiver.send_unnumbered(Iax.ACK, frame.timestamp)
        assert now < 60_000, "stuck"
    assert got == [str(number).encode() for number in range(len(got))]
    assert one.lost or len(got) == count
