"""Sequence, acknowledgement and retransmission of one leg, over channels that lose, duplicate and reorder."""

from __future__ import annotations

from itertools import pairwise
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pearloom.iax2.frames import FrameType, FullFrame, Iax, decode
from pearloom.iax2.transport import MAX_TRIES, MAX_UNACKNOWLEDGED, Transport, Verdict


def sent_frames(transport: Transport) -> list[FullFrame]:
    return [
        frame
        for data in transport.take_datagrams()
        for frame in decode(data)  # type: ignore[union-attr]
        if isinstance(frame, FullFrame)
    ]


def send_text(transport: Transport, payload: bytes, now: float) -> bool:
    return transport.send(FrameType.TEXT, 0, payload, now)


def test_frames_are_retransmitted_with_growing_intervals_until_acknowledged() -> None:
    local, peer = Transport(1, 0.0, 2), Transport(2, 0.0, 1)
    send_text(local, b"a", 0.0)
    times = []
    now = 0.0
    while not local.lost:
        now = local.due_ms()
        local.tick(now)
        times.append(now)
    assert len(times) == MAX_TRIES
    intervals = [later - sooner for sooner, later in pairwise(times)]
    assert intervals == sorted(intervals) and intervals[-1] > 2 * intervals[0]
    sent = sent_frames(local)
    assert [frame.is_retransmitted for frame in sent] == [False] + [True] * (MAX_TRIES - 1)
    assert {frame.oseq for frame in sent} == {0}
    for frame in sent:
        peer.receive(frame, now)
    peer.send_unnumbered(Iax.ACK, sent[0].timestamp)
    for frame in sent_frames(peer):
        local.receive(frame, now)
    assert local.unacknowledged == 0 and local.due_ms() == float("inf")


def test_a_duplicate_is_acknowledged_and_not_accepted_again() -> None:
    local, peer = Transport(1, 0.0, 2), Transport(2, 0.0, 1)
    send_text(local, b"a", 0.0)
    (frame,) = sent_frames(local)
    assert peer.receive(frame, 1.0) is Verdict.ACCEPT
    assert peer.receive(frame, 2.0) is Verdict.DUPLICATE
    assert [reply.subclass for reply in sent_frames(peer)] == [Iax.ACK]


def test_a_gap_causes_one_vnak_and_is_filled_by_the_peer() -> None:
    local, peer = Transport(1, 0.0, 2), Transport(2, 0.0, 1)
    for payload in (b"a", b"b", b"c"):
        send_text(local, payload, 0.0)
    first, second, third = sent_frames(local)
    assert (
        peer.receive(second, 1.0) is Verdict.OUT_OF_ORDER and peer.receive(third, 1.0) is Verdict.OUT_OF_ORDER
    )
    (vnak,) = sent_frames(peer)
    assert vnak.is_iax(Iax.VNAK)
    local.receive(vnak, 2.0)
    retransmitted = sent_frames(local)
    assert [frame.data for frame in retransmitted] == [b"a", b"b", b"c"]
    assert [peer.receive(frame, 3.0) for frame in (first, *retransmitted[1:])] == [Verdict.ACCEPT] * 3


def test_an_unwanted_frame_is_not_retransmitted() -> None:
    local = Transport(1, 0.0, 2)
    wanted = [True]
    local.send(FrameType.IAX, Iax.NEW, b"", 0.0, lambda: wanted[0])
    sent_frames(local)
    local.tick(local.due_ms())
    assert len(sent_frames(local)) == 1
    wanted[0] = False
    local.tick(local.due_ms())
    assert sent_frames(local) == [] and local.stopped
    local.prepare_close(5000.0)
    local.send(FrameType.IAX, Iax.HANGUP, b"", 5000.0)
    local.tick(9000.0)
    # A PING takes the sequence number of the NEW: the sequence has no gap, and no work is started.
    assert {(frame.oseq, frame.subclass) for frame in sent_frames(local)} == {(0, Iax.PING), (1, Iax.HANGUP)}


def test_a_very_old_acknowledgement_is_ignored() -> None:
    local = Transport(1, 0.0, 2)
    for _ in range(3):
        send_text(local, b"", 0.0)
    local.receive(FullFrame(2, 1, 0, 0, 200, FrameType.IAX, Iax.ACK), 1.0)
    assert local.unacknowledged == 3
    local.receive(FullFrame(2, 1, 0, 0, 2, FrameType.IAX, Iax.ACK), 1.0)
    assert local.unacknowledged == 1


def test_unacknowledged_frames_are_bounded() -> None:
    local = Transport(1, 0.0, 2)
    assert [send_text(local, b"", 0.0) for _ in range(MAX_UNACKNOWLEDGED + 1)] == [
        True
    ] * MAX_UNACKNOWLEDGED + [False]


@pytest.mark.parametrize("seed", range(3))
def test_both_sequence_numbers_wrap_within_one_leg(seed: int) -> None:
    random = Random(seed)
    local, peer = Transport(1, 0.0, 2), Transport(2, 0.0, 1)
    local._last_timestamp = 0xFFFFFFF0  # the timestamp wraps too
    received: list[bytes] = []
    payloads = [str(number).encode() for number in range(700)]
    now, at = 0.0, 0
    while len(received) < len(payloads):
        now += 10.0
        if at < len(payloads) and send_text(local, payloads[at], now):
            at += 1
        for sender, receiver in ((local, peer), (peer, local)):
            for frame in sent_frames(sender):
                if random.random() < 0.05:
                    continue
                if receiver.receive(frame, now) is Verdict.ACCEPT and frame.is_numbered:
                    received.append(frame.data)
                    receiver.send_unnumbered(Iax.ACK, frame.timestamp)
            sender.tick(now)
        assert not local.lost
    assert received == payloads


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32), st.floats(0.0, 0.4), st.integers(1, 40))
def test_over_any_channel_payloads_arrive_once_and_in_order_or_the_leg_is_lost(
    seed: int, loss: float, count: int
) -> None:
    random = Random(seed)
    local, peer = Transport(1, 0.0, 2), Transport(2, 0.0, 1)
    in_flight: list[tuple[float, Transport, FullFrame]] = []
    received: list[bytes] = []
    for number in range(count):
        send_text(local, str(number).encode(), 0.0)
    now = 0.0
    while not local.lost and (local.unacknowledged or in_flight):
        now += 5.0
        for sender, receiver in ((local, peer), (peer, local)):
            sender.tick(now)
            for frame in sent_frames(sender):
                for _ in range(1 + (random.random() < 0.1)):
                    if random.random() >= loss:
                        in_flight.append((now + random.uniform(0, 80), receiver, frame))
        due = [item for item in in_flight if item[0] <= now]
        in_flight = [item for item in in_flight if item[0] > now]
        for _, receiver, frame in due:
            if receiver.receive(frame, now) is Verdict.ACCEPT and frame.is_numbered:
                received.append(frame.data)
                receiver.send_unnumbered(Iax.ACK, frame.timestamp)
        assert now < 60_000, "stuck"
    assert received == [str(number).encode() for number in range(len(received))]
    assert local.lost or len(received) == count
