"""Pairs of legs, frame by frame: crossing and lost frames at each point of a call."""

from __future__ import annotations

from itertools import pairwise
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pearloom.core.calls import Media, MediaKind
from pearloom.iax2.attempt_endings import SetUpFailure, Stage
from pearloom.iax2.element_mapping import answer_elements
from pearloom.iax2.events import (
    Answered,
    Event,
    Failed,
    HungUp,
    LegEnded,
    LegLost,
    MediaReceived,
    Rejected,
    SetUpReceived,
)
from pearloom.iax2.frames import Control, Element, Elements, FrameType, FullFrame, Iax, MiniFrame, decode
from pearloom.iax2.in_leg import InLeg
from pearloom.iax2.leg import Leg
from pearloom.iax2.out_leg import OutLeg

VOICE = Media(MediaKind.VOICE, 4, 0, b"hello")


def sent_frames(leg: Leg) -> list[FullFrame | MiniFrame]:
    return [frame for data in leg.take_datagrams() for frame in decode(data)]  # type: ignore[union-attr]


class Pair:
    """An outgoing leg and its peer's incoming leg, with control over lost frames."""

    def __init__(self, secret: str = "", known: str | None = None, token: bool = False) -> None:
        self.now = 0.0
        self.wanted = True
        elements = Elements([(Element.CALLED_NUMBER, b"123")])
        self.out_leg = OutLeg(5, elements, secret if known is None else known, 0.0, lambda: self.wanted)
        self.in_leg: InLeg | None = None
        self.secret, self.token = secret, token
        self.out_events: list[Event] = []  # of the outgoing leg
        self.in_events: list[Event] = []  # of the incoming leg
        self.out_leg.start(0.0)

    def exchange(self, channel: Random | None = None, loss: float = 0.0) -> None:
        """Deliver all sent frames to the other side, once each, until neither side sends more."""
        for _ in range(50):
            sent = [(True, frame) for frame in sent_frames(self.out_leg)]
            if self.in_leg is not None:
                sent += [(False, frame) for frame in sent_frames(self.in_leg)]
            if not sent:
                return
            for is_outgoing, frame in sent:
                if channel is None or channel.random() >= loss:
                    self.deliver(is_outgoing, frame)

    def deliver(self, is_outgoing: bool, frame: FullFrame | MiniFrame) -> None:
        if not is_outgoing:
            self.out_events += self.out_leg.feed(frame, self.now)
        elif self.in_leg is not None:
            self.in_events += self.in_leg.feed(frame, self.now)
        elif isinstance(frame, FullFrame) and frame.is_iax(Iax.NEW):
            if self.token and frame.data.endswith(bytes((Element.CALLTOKEN, 0))):
                asked = Elements([(Element.CALLTOKEN, b"tok")]).encode()
                reply = FullFrame(1, frame.source, frame.timestamp, 0, 1, FrameType.IAX, Iax.CALLTOKEN, asked)
                self.out_events += self.out_leg.feed(reply, self.now)
                return
            self.in_leg = InLeg(9, frame, Elements(), self.secret, "chal", self.now)
            self.in_events += self.in_leg.start(self.now)

    def advance(self, step_ms: float) -> None:
        self.now += step_ms
        self.out_events += self.out_leg.tick(self.now)
        if self.in_leg is not None:
            self.in_events += self.in_leg.tick(self.now)

    def answer(self) -> InLeg:
        assert self.in_leg is not None
        self.in_leg.answer(4, answer_elements(b"there"), self.now)
        return self.in_leg


def event_types(events: list[Event]) -> list[type]:
    return [type(event) for event in events]


@pytest.mark.parametrize(("secret", "token"), [("", False), ("", True), ("s3cret", False), ("s3cret", True)])
def test_a_call_is_answered_carries_media_and_ends(secret: str, token: bool) -> None:
    pair = Pair(secret, token=token)
    pair.exchange()
    assert event_types(pair.in_events) == [SetUpReceived] and pair.out_leg.stage in (
        Stage.ACKNOWLEDGED,
        Stage.AUTH_SENT,
    )
    in_leg = pair.answer()
    pair.exchange()
    assert pair.out_events == [Answered(b"there", "")]
    pair.out_leg.transmit_media(VOICE, 20.0)
    pair.out_leg.transmit_media(Media(MediaKind.VOICE, 4, 20, b"again"), 40.0)
    pair.out_leg.transmit_media(Media(MediaKind.DIGIT, 0, 0, b"5"), 50.0)
    pair.exchange()
    relayed = [event.media for event in pair.in_events if isinstance(event, MediaReceived)]
    assert [(media.kind, media.payload) for media in relayed] == [
        (MediaKind.VOICE, b"hello"), (MediaKind.VOICE, b"again"), (MediaKind.DIGIT, b"5"),
    ]  # fmt: skip
    assert relayed[1].timestamp_ms - relayed[0].timestamp_ms == 20
    in_leg.hang_up(16, 100.0)
    pair.exchange()
    assert (
        event_types(pair.out_events) == [Answered, HungUp, LegEnded]
        and event_types(pair.in_events)[-1] is LegEnded
    )


def test_a_wrong_secret_is_turned_away_before_any_offer() -> None:
    pair = Pair("right", known="wrong")
    pair.exchange()
    assert event_types(pair.out_events) == [Rejected, LegEnded] and SetUpReceived not in event_types(
        pair.in_events
    )


def test_a_challenge_without_a_secret_never_ran() -> None:
    pair = Pair("right", known="")
    pair.exchange()
    assert pair.out_events[0] == Failed(
        Stage.CHALLENGED, SetUpFailure.SPOILT, "a challenge that can't be answered"
    )


@pytest.mark.parametrize(("token", "secret"), [(True, ""), (False, "s3cret")])
def test_a_set_up_that_a_drain_stops_before_token_or_challenge_answer_never_ran(
    token: bool, secret: str
) -> None:
    pair = Pair(secret, token=token)
    new = sent_frames(pair.out_leg)
    pair.wanted = False
    for frame in new:
        pair.deliver(True, frame)
    pair.exchange()
    stage = Stage.TOKEN_ASKED if token else Stage.CHALLENGED
    assert pair.out_events[0] == Failed(stage, SetUpFailure.WITHDRAWN, "no longer wanted")
    assert SetUpReceived not in event_types(pair.in_events)


def test_a_new_is_not_retransmitted_to_a_server_that_drained_and_its_ending_is_uncertain() -> None:
    pair = Pair()
    sent_frames(pair.out_leg)  # lost
    pair.wanted = False
    pair.advance(150.0)
    assert pair.out_events == [Failed(Stage.SENT, SetUpFailure.WITHDRAWN)]
    sent = [frame for frame in sent_frames(pair.out_leg) if isinstance(frame, FullFrame)]
    assert [frame.subclass for frame in sent] == [Iax.HANGUP]
    pair.advance(120.0)
    assert Iax.NEW not in {
        frame.subclass for frame in sent_frames(pair.out_leg) if isinstance(frame, FullFrame)
    }


def test_a_peer_that_acknowledges_and_falls_silent_leaves_the_ending_uncertain() -> None:
    pair = Pair()
    pair.exchange()
    assert pair.out_leg.stage is Stage.ACKNOWLEDGED and pair.out_leg.due_ms() == float(
        "inf"
    ), "nothing is retransmitted"
    assert pair.out_leg.fail(SetUpFailure.TIMED_OUT, 1000.0) == [
        Failed(Stage.ACKNOWLEDGED, SetUpFailure.TIMED_OUT)
    ]
    pair.exchange()
    assert event_types(pair.in_events) == [SetUpReceived, HungUp, LegEnded] and pair.out_leg.is_ended


def test_a_peer_that_never_acknowledges_is_silent_after_all_retransmissions() -> None:
    pair = Pair()
    while not pair.out_events:
        pair.advance(100.0)
    assert pair.out_events == [Failed(Stage.SENT, SetUpFailure.SILENT)] and pair.now < 5000.0


def test_a_lost_acknowledgement_leaves_the_set_up_running() -> None:
    pair = Pair()
    for frame in sent_frames(pair.out_leg):
        pair.deliver(True, frame)
    assert pair.in_leg is not None and sent_frames(pair.in_leg), "its ACK is lost"
    assert pair.out_leg.stage.name == "SENT" and event_types(pair.in_events) == [SetUpReceived]
    pair.advance(150.0)  # the NEW is retransmitted, and is no second set-up
    pair.exchange()
    assert event_types(pair.in_events) == [SetUpReceived] and pair.out_leg.stage is Stage.ACKNOWLEDGED


def test_an_answer_that_crosses_a_hangup_is_ignored() -> None:
    pair = Pair()
    pair.exchange()
    pair.answer()
    pair.out_leg.hang_up(16, 10.0)
    pair.exchange()
    assert event_types(pair.out_events) == [LegEnded], "a leg that was given up reports no answer"
    assert event_types(pair.in_events) == [SetUpReceived, HungUp, LegEnded]


def test_a_second_answer_changes_nothing() -> None:
    pair = Pair()
    pair.exchange()
    in_leg = pair.answer()
    in_leg.transport.send(
        FrameType.CONTROL, Control.ANSWER, Elements(answer_elements(b"other")).encode(), 5.0
    )
    pair.exchange()
    assert pair.out_events == [Answered(b"there", "")]


def test_a_lost_hangup_is_retransmitted_until_it_arrives() -> None:
    pair = Pair()
    pair.exchange()
    pair.out_leg.hang_up(16, 0.0)
    sent_frames(pair.out_leg)
    assert not pair.out_leg.is_ended
    pair.advance(150.0)
    pair.exchange()
    assert pair.out_leg.is_ended and event_types(pair.in_events)[-2:] == [HungUp, LegEnded]


def test_a_hangup_is_accepted_though_an_earlier_frame_is_missing() -> None:
    pair = Pair()
    pair.exchange()
    pair.answer()
    pair.exchange()
    pair.out_leg.ping(10.0)
    sent_frames(pair.out_leg)  # lost
    pair.out_leg.hang_up(16, 11.0)
    (last,) = (frame for frame in sent_frames(pair.out_leg) if isinstance(frame, FullFrame))
    assert pair.in_leg is not None
    assert event_types(pair.in_leg.feed(last, 12.0)) == [HungUp, LegEnded]


def test_a_hangup_that_overtakes_a_possible_answer_leaves_the_ending_uncertain() -> None:
    pair = Pair()
    pair.exchange()
    in_leg = pair.answer()
    in_leg.hang_up(16, 1.0)
    last = [frame for frame in sent_frames(in_leg) if isinstance(frame, FullFrame)][-1]
    assert pair.out_leg.feed(last, 2.0) == [Failed(Stage.ACKNOWLEDGED, SetUpFailure.CUT), LegEnded()]


def test_a_second_challenge_proves_nothing() -> None:
    pair = Pair("s3cret")
    pair.exchange()
    assert pair.out_leg.stage is Stage.ACKNOWLEDGED and pair.in_leg is not None
    again = Elements([(Element.CHALLENGE, b"x"), (Element.AUTHMETHODS, b"\x00\x02")])
    pair.wanted = False  # its server drains, so that no second answer to a challenge may be sent
    pair.in_leg.transport.send(FrameType.IAX, Iax.AUTHREQ, again.encode(), 5.0)
    pair.exchange()
    assert pair.out_events == [], "the server may have started work after the first answer"


def test_inval_ends_an_established_leg_and_leaves_a_set_up_uncertain() -> None:
    inval = FullFrame(9, 5, 0, 0, 0, FrameType.IAX, Iax.INVAL)
    pair = Pair()
    pair.exchange()
    assert pair.out_leg.feed(inval, 1.0) == [
        Failed(Stage.ACKNOWLEDGED, SetUpFailure.UNKNOWN_THERE),
        LegEnded(),
    ]
    pair = Pair()
    pair.exchange()
    pair.answer()
    pair.exchange()
    assert pair.out_leg.feed(inval, 1.0) == [LegLost("unknown there"), LegEnded()]


def test_an_answer_with_a_malformed_description_is_not_passed_on() -> None:
    pair = Pair()
    pair.exchange()
    assert pair.in_leg is not None
    pair.in_leg.answer(4, [(Element.DESCRIPTION, b"\x07x")], 1.0)
    pair.exchange()
    assert isinstance(pair.out_events[0], Failed) and pair.out_events[0].failure is SetUpFailure.SPOILT
    assert event_types(pair.in_events) == [SetUpReceived, HungUp, LegEnded]


def test_unknown_frames_get_unsupport_and_transfers_are_refused() -> None:
    pair = Pair()
    pair.exchange()
    assert pair.in_leg is not None
    pair.in_leg.transport.send(FrameType.IAX, Iax.TXREQ, b"", 1.0)
    pair.in_leg.transport.send(FrameType.IAX, 99, b"", 1.0)
    pair.in_leg.transport.send(FrameType.IAX, Iax.LAGRQ, b"", 1.0)
    for frame in sent_frames(pair.in_leg):
        pair.deliver(False, frame)
    replies = [frame.subclass for frame in sent_frames(pair.out_leg) if isinstance(frame, FullFrame)]
    assert replies == [Iax.TXREJ, Iax.UNSUPPORT, Iax.LAGRP]


def test_voice_timestamps_continue_over_the_16_bits_of_a_mini_frame() -> None:
    pair = Pair()
    pair.exchange()
    pair.answer()
    pair.exchange()
    for stamp in range(64_000, 68_000, 200):
        pair.now = float(stamp)
        pair.out_leg.transmit_media(Media(MediaKind.VOICE, 4, stamp, b"v"), pair.now)
        pair.exchange()
    relayed = [event.media.timestamp_ms for event in pair.in_events if isinstance(event, MediaReceived)]
    assert [later - sooner for sooner, later in pairwise(relayed)] == [200] * 19


@settings(max_examples=80, deadline=None)
@given(
    st.integers(0, 2**32),
    st.floats(0.0, 0.5),
    st.sampled_from(["caller", "server", "give up"]),
    st.booleans(),
)
def test_over_a_lossy_channel_both_legs_end_and_agree(
    seed: int, loss: float, hangs_up: str, secret: bool
) -> None:
    channel = Random(seed)
    pair = Pair("s3cret" if secret else "", token=True)
    hang_up_at_ms = channel.uniform(0.0, 3000.0)
    answered = ended = False
    while pair.now < 60_000.0:
        pair.exchange(channel, loss)
        if (
            pair.in_leg is not None
            and not answered
            and SetUpReceived in event_types(pair.in_events)
            and hangs_up != "give up"
        ):
            answered = True
            pair.answer()
        if not ended and pair.now >= hang_up_at_ms:
            ended = True
            side = pair.in_leg if hangs_up == "server" and pair.in_leg is not None else pair.out_leg
            side.hang_up(16, pair.now)
        if pair.out_leg.is_ended and (pair.in_leg is None or pair.in_leg.is_ended):
            break
        # Each side sends a PING about every 2 s, as the liveness check does.
        if pair.now % 2000 < 50:
            for leg in (pair.out_leg, pair.in_leg):
                if leg is not None and not leg.is_ended and not leg.is_closing:
                    leg.ping(pair.now)
        pair.advance(50.0)
    assert pair.out_leg.is_ended, "a leg that is stuck"
    assert pair.in_leg is None or pair.in_leg.is_ended, "a leg that is stuck"
    assert (
        event_types(pair.out_events).count(Answered) <= 1
        and event_types(pair.in_events).count(SetUpReceived) <= 1
    )
    ends = (HungUp, LegLost, Rejected, Failed)
    assert sum(isinstance(event, ends) for event in pair.out_events) <= 1, "one end"


@given(st.lists(st.binary(max_size=40), max_size=20))
def test_random_frames_for_a_leg_never_raise(noise: list[bytes]) -> None:
    pair = Pair()
    pair.exchange()
    for data in noise:
        head = bytes.fromhex("8009 0005 00000001 00 01".replace(" ", ""))
        found = decode(head + data)
        if isinstance(found, list):
            for frame in found:
                pair.out_events += pair.out_leg.feed(frame, 1.0)
                pair.out_leg.take_datagrams()
