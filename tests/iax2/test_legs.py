"""Legs in pairs, frame by frame: the crossings and losses that a call can meet."""

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


def parts(leg: Leg) -> list[FullFrame | MiniFrame]:
    return [one for data in leg.take_datagrams() for one in decode(data)]  # type: ignore[union-attr]


class Pair:
    """A caller's leg and its peer, with a script for what is lost."""

    def __init__(self, secret: str = "", known: str | None = None, token: bool = False) -> None:
        self.now = 0.0
        self.wanted = True
        elements = Elements([(Element.CALLED_NUMBER, b"123")])
        self.out = OutLeg(5, elements, secret if known is None else known, 0.0, lambda: self.wanted)
        self.inside: InLeg | None = None
        self.secret, self.token = secret, token
        self.told: list[Event] = []  # by the caller's leg
        self.heard: list[Event] = []  # by the other
        self.out.start(0.0)

    def carry(self, loses: Random | None = None, share: float = 0.0) -> None:
        """Bring all that was sent to the other side, once each, until nobody says more."""
        for _ in range(50):
            sent = [(True, one) for one in parts(self.out)]
            if self.inside is not None:
                sent += [(False, one) for one in parts(self.inside)]
            if not sent:
                return
            for forth, frame in sent:
                if loses is None or loses.random() >= share:
                    self.bring(forth, frame)

    def bring(self, forth: bool, frame: FullFrame | MiniFrame) -> None:
        if not forth:
            self.told += self.out.feed(frame, self.now)
        elif self.inside is not None:
            self.heard += self.inside.feed(frame, self.now)
        elif isinstance(frame, FullFrame) and frame.is_iax(Iax.NEW):
            if self.token and frame.data.endswith(bytes((Element.CALLTOKEN, 0))):
                asked = Elements([(Element.CALLTOKEN, b"tok")]).encode()
                reply = FullFrame(1, frame.source, frame.timestamp, 0, 1, FrameType.IAX, Iax.CALLTOKEN, asked)
                self.told += self.out.feed(reply, self.now)
                return
            self.inside = InLeg(9, frame, Elements(), self.secret, "chal", self.now)
            self.heard += self.inside.start(self.now)

    def go_on(self, by_ms: float) -> None:
        self.now += by_ms
        self.told += self.out.tick(self.now)
        if self.inside is not None:
            self.heard += self.inside.tick(self.now)

    def answer(self) -> InLeg:
        assert self.inside is not None
        self.inside.answer(4, answer_elements(b"there"), self.now)
        return self.inside


def kinds(events: list[Event]) -> list[type]:
    return [type(event) for event in events]


@pytest.mark.parametrize(("secret", "token"), [("", False), ("", True), ("s3cret", False), ("s3cret", True)])
def test_a_call_stands_talks_and_ends(secret: str, token: bool) -> None:
    pair = Pair(secret, token=token)
    pair.carry()
    assert kinds(pair.heard) == [SetUpReceived] and pair.out.stage in (Stage.ACKNOWLEDGED, Stage.AUTH_SENT)
    inside = pair.answer()
    pair.carry()
    assert pair.told == [Answered(b"there", "")]
    pair.out.transmit_media(VOICE, 20.0)
    pair.out.transmit_media(Media(MediaKind.VOICE, 4, 20, b"again"), 40.0)
    pair.out.transmit_media(Media(MediaKind.DIGIT, 0, 0, b"5"), 50.0)
    pair.carry()
    said = [event.media for event in pair.heard if isinstance(event, MediaReceived)]
    assert [(one.kind, one.payload) for one in said] == [
        (MediaKind.VOICE, b"hello"), (MediaKind.VOICE, b"again"), (MediaKind.DIGIT, b"5"),
    ]  # fmt: skip
    assert said[1].timestamp_ms - said[0].timestamp_ms == 20
    inside.hang_up(16, 100.0)
    pair.carry()
    assert kinds(pair.told) == [Answered, HungUp, LegEnded] and kinds(pair.heard)[-1] is LegEnded


def test_a_wrong_secret_is_turned_away_before_any_offer() -> None:
    pair = Pair("right", known="wrong")
    pair.carry()
    assert kinds(pair.told) == [Rejected, LegEnded] and SetUpReceived not in kinds(pair.heard)


def test_a_challenge_without_a_secret_never_ran() -> None:
    pair = Pair("right", known="")
    pair.carry()
    assert pair.told[0] == Failed(Stage.CHALLENGED, SetUpFailure.SPOILT, "a challenge that can't be answered")


@pytest.mark.parametrize(("token", "secret"), [(True, ""), (False, "s3cret")])
def test_what_a_drain_stops_before_the_token_or_the_proof_never_ran(token: bool, secret: str) -> None:
    pair = Pair(secret, token=token)
    new = parts(pair.out)
    pair.wanted = False
    for frame in new:
        pair.bring(True, frame)
    pair.carry()
    stage = Stage.TOKEN_ASKED if token else Stage.CHALLENGED
    assert pair.told[0] == Failed(stage, SetUpFailure.WITHDRAWN, "no longer wanted")
    assert SetUpReceived not in kinds(pair.heard)


def test_a_new_is_not_repeated_for_a_server_that_drained_and_its_end_is_in_doubt() -> None:
    pair = Pair()
    parts(pair.out)  # lost
    pair.wanted = False
    pair.go_on(150.0)
    assert pair.told == [Failed(Stage.SENT, SetUpFailure.WITHDRAWN)]
    sent = [one for one in parts(pair.out) if isinstance(one, FullFrame)]
    assert [one.subclass for one in sent] == [Iax.HANGUP]
    pair.go_on(120.0)
    assert Iax.NEW not in {one.subclass for one in parts(pair.out) if isinstance(one, FullFrame)}


def test_a_peer_that_acknowledges_and_falls_silent_stays_in_doubt() -> None:
    pair = Pair()
    pair.carry()
    assert pair.out.stage is Stage.ACKNOWLEDGED and pair.out.due_ms() == float("inf"), "nothing is repeated"
    assert pair.out.fail(SetUpFailure.TIMED_OUT, 1000.0) == [
        Failed(Stage.ACKNOWLEDGED, SetUpFailure.TIMED_OUT)
    ]
    pair.carry()
    assert kinds(pair.heard) == [SetUpReceived, HungUp, LegEnded] and pair.out.is_ended


def test_a_peer_that_never_acknowledges_is_silent_after_all_repeats() -> None:
    pair = Pair()
    while not pair.told:
        pair.go_on(100.0)
    assert pair.told == [Failed(Stage.SENT, SetUpFailure.SILENT)] and pair.now < 5000.0


def test_an_acknowledgement_that_is_lost_leaves_the_set_up_running_and_in_doubt() -> None:
    pair = Pair()
    for frame in parts(pair.out):
        pair.bring(True, frame)
    assert pair.inside is not None and parts(pair.inside), "its ACK is lost"
    assert pair.out.stage.name == "SENT" and kinds(pair.heard) == [SetUpReceived]
    pair.go_on(150.0)  # the NEW is repeated, and is no second set-up
    pair.carry()
    assert kinds(pair.heard) == [SetUpReceived] and pair.out.stage is Stage.ACKNOWLEDGED


def test_answer_and_hang_up_cross() -> None:
    pair = Pair()
    pair.carry()
    pair.answer()
    pair.out.hang_up(16, 10.0)
    pair.carry()
    assert kinds(pair.told) == [LegEnded], "no answer comes of a leg that was given up"
    assert kinds(pair.heard) == [SetUpReceived, HungUp, LegEnded]


def test_a_second_answer_changes_nothing() -> None:
    pair = Pair()
    pair.carry()
    inside = pair.answer()
    inside.transport.send(
        FrameType.CONTROL, Control.ANSWER, Elements(answer_elements(b"other")).encode(), 5.0
    )
    pair.carry()
    assert pair.told == [Answered(b"there", "")]


def test_a_hang_up_that_is_lost_is_repeated_until_heard() -> None:
    pair = Pair()
    pair.carry()
    pair.out.hang_up(16, 0.0)
    parts(pair.out)
    assert not pair.out.is_ended
    pair.go_on(150.0)
    pair.carry()
    assert pair.out.is_ended and kinds(pair.heard)[-2:] == [HungUp, LegEnded]


def test_a_hang_up_is_heard_though_a_frame_before_it_is_missing() -> None:
    pair = Pair()
    pair.carry()
    pair.answer()
    pair.carry()
    pair.out.ping(10.0)
    parts(pair.out)  # lost
    pair.out.hang_up(16, 11.0)
    (last,) = (one for one in parts(pair.out) if isinstance(one, FullFrame))
    assert pair.inside is not None
    assert kinds(pair.inside.feed(last, 12.0)) == [HungUp, LegEnded]


def test_a_hang_up_that_overtakes_what_may_be_an_answer_is_doubt() -> None:
    pair = Pair()
    pair.carry()
    inside = pair.answer()
    inside.hang_up(16, 1.0)
    last = [one for one in parts(inside) if isinstance(one, FullFrame)][-1]
    assert pair.out.feed(last, 2.0) == [Failed(Stage.ACKNOWLEDGED, SetUpFailure.CUT), LegEnded()]


def test_a_second_challenge_proves_nothing() -> None:
    pair = Pair("s3cret")
    pair.carry()
    assert pair.out.stage is Stage.ACKNOWLEDGED and pair.inside is not None
    again = Elements([(Element.CHALLENGE, b"x"), (Element.AUTHMETHODS, b"\x00\x02")])
    pair.wanted = False  # its server drains, so that no second answer may leave
    pair.inside.transport.send(FrameType.IAX, Iax.AUTHREQ, again.encode(), 5.0)
    pair.carry()
    assert pair.told == [], "it may be at work since the first answer"


def test_inval_ends_a_standing_leg_and_puts_a_set_up_in_doubt() -> None:
    inval = FullFrame(9, 5, 0, 0, 0, FrameType.IAX, Iax.INVAL)
    pair = Pair()
    pair.carry()
    assert pair.out.feed(inval, 1.0) == [Failed(Stage.ACKNOWLEDGED, SetUpFailure.UNKNOWN_THERE), LegEnded()]
    pair = Pair()
    pair.carry()
    pair.answer()
    pair.carry()
    assert pair.out.feed(inval, 1.0) == [LegLost("unknown there"), LegEnded()]


def test_an_answer_whose_description_is_spoilt_is_not_passed_on() -> None:
    pair = Pair()
    pair.carry()
    assert pair.inside is not None
    pair.inside.answer(4, [(Element.DESCRIPTION, b"\x07x")], 1.0)
    pair.carry()
    assert isinstance(pair.told[0], Failed) and pair.told[0].failure is SetUpFailure.SPOILT
    assert kinds(pair.heard) == [SetUpReceived, HungUp, LegEnded]


def test_what_a_leg_does_not_know_is_told_and_transfers_are_refused() -> None:
    pair = Pair()
    pair.carry()
    assert pair.inside is not None
    pair.inside.transport.send(FrameType.IAX, Iax.TXREQ, b"", 1.0)
    pair.inside.transport.send(FrameType.IAX, 99, b"", 1.0)
    pair.inside.transport.send(FrameType.IAX, Iax.LAGRQ, b"", 1.0)
    for frame in parts(pair.inside):
        pair.bring(False, frame)
    said = [one.subclass for one in parts(pair.out) if isinstance(one, FullFrame)]
    assert said == [Iax.TXREJ, Iax.UNSUPPORT, Iax.LAGRP]


def test_voice_times_go_over_the_16_bits_of_a_mini_frame() -> None:
    pair = Pair()
    pair.carry()
    pair.answer()
    pair.carry()
    for stamp in range(64_000, 68_000, 200):
        pair.now = float(stamp)
        pair.out.transmit_media(Media(MediaKind.VOICE, 4, stamp, b"v"), pair.now)
        pair.carry()
    said = [event.media.timestamp_ms for event in pair.heard if isinstance(event, MediaReceived)]
    assert [later - sooner for sooner, later in pairwise(said)] == [200] * 19


@settings(max_examples=80, deadline=None)
@given(
    st.integers(0, 2**32),
    st.floats(0.0, 0.5),
    st.sampled_from(["caller", "server", "give up"]),
    st.booleans(),
)
def test_over_a_lossy_channel_both_ends_agree_or_time_out(
    seed: int, share: float, who: str, secret: bool
) -> None:
    loses = Random(seed)
    pair = Pair("s3cret" if secret else "", token=True)
    ends_at = loses.uniform(0.0, 3000.0)
    answered = ended = False
    while pair.now < 60_000.0:
        pair.carry(loses, share)
        if (
            pair.inside is not None
            and not answered
            and SetUpReceived in kinds(pair.heard)
            and who != "give up"
        ):
            answered = True
            pair.answer()
        if not ended and pair.now >= ends_at:
            ended = True
            side = pair.inside if who == "server" and pair.inside is not None else pair.out
            side.hang_up(16, pair.now)
        if pair.out.is_ended and (pair.inside is None or pair.inside.is_ended):
            break
        # Each asks now and then, as the host's liveness does.
        if pair.now % 2000 < 50:
            for one in (pair.out, pair.inside):
                if one is not None and not one.is_ended and not one.is_closing:
                    one.ping(pair.now)
        pair.go_on(50.0)
    assert pair.out.is_ended, "a leg that is stuck"
    assert pair.inside is None or pair.inside.is_ended, "a leg that is stuck"
    assert kinds(pair.told).count(Answered) <= 1 and kinds(pair.heard).count(SetUpReceived) <= 1
    ends = (HungUp, LegLost, Rejected, Failed)
    assert sum(isinstance(event, ends) for event in pair.told) <= 1, "one end"


@given(st.lists(st.binary(max_size=40), max_size=20))
def test_noise_under_a_leg_s_own_number_never_raises(noise: list[bytes]) -> None:
    pair = Pair()
    pair.carry()
    for data in noise:
        head = bytes.fromhex("8009 0005 00000001 00 01".replace(" ", ""))
        found = decode(head + data)
        if isinstance(found, list):
            for frame in found:
                pair.told += pair.out.feed(frame, 1.0)
                pair.out.take_datagrams()
