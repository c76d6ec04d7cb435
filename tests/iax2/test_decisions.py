"""Decisions without I/O: attempt endings, admission, liveness, call numbers and call tokens."""

from __future__ import annotations

from itertools import product

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearloom.iax2 import call_tokens
from pearloom.iax2.admission import MAX_PROVEN_SOURCES, Admission, AdmissionLimits, RefusalReason
from pearloom.iax2.attempt_endings import (
    NEVER_RAN,
    SetUpFailure,
    Stage,
    ending_for_cause,
    ending_for_failure,
    may_send,
)
from pearloom.iax2.call_numbers import REUSE_DELAY_MS, CallNumbers
from pearloom.iax2.liveness import AUDIT_MS, LEG_PING_MS, PEER_LOST_MS, QUIET_MS, RESUMED_AFTER_MS, Liveness
from pearloom.iax2.out_leg import TRANSITIONS, Signal
from pearloom.interface import Ending

NEVER_RAN_ENDINGS = (Ending.NOT_SENT, Ending.UNREACHABLE, Ending.FULL)


@pytest.mark.parametrize(("stage", "end"), product(Stage, SetUpFailure))
def test_an_ending_means_never_ran_only_where_the_peer_stored_nothing(
    stage: Stage, end: SetUpFailure
) -> None:
    if stage is Stage.ANSWERED:
        with pytest.raises(ValueError, match="answered"):
            ending_for_failure(stage, end)
        return
    ending = ending_for_failure(stage, end)
    if stage in NEVER_RAN:
        assert ending in NEVER_RAN_ENDINGS or (end is SetUpFailure.SPOILT and ending is Ending.ERROR)
    else:
        assert ending in (
            Ending.RESET,
            Ending.TIMED_OUT,
            Ending.CANCELLED,
        ), "uncertain: a pause of 300 ms follows"


def test_never_ran_stages_are_those_before_any_work() -> None:
    assert {Stage.NOTHING_SENT, Stage.TOKEN_ASKED, Stage.CHALLENGED} == NEVER_RAN


@pytest.mark.parametrize(
    ("cause", "ending"),
    [(42, Ending.FULL), (34, Ending.FULL), (17, Ending.ERROR), (27, Ending.NOT_SENT), (38, Ending.RESET),
     (102, Ending.TIMED_OUT), (41, Ending.ERROR), (16, Ending.ERROR), (0, Ending.ERROR), (255, Ending.ERROR)],
)  # fmt: skip
def test_causes_of_a_reject(cause: int, ending: Ending) -> None:
    assert ending_for_cause(Stage.ACKNOWLEDGED, cause) is ending
    after_work = ending_for_cause(Stage.ACCEPTED, cause)
    assert after_work not in NEVER_RAN_ENDINGS and (ending in NEVER_RAN_ENDINGS or after_work is ending)


@pytest.mark.parametrize(("stage", "ready", "wanted"), product(Stage, (True, False), (True, False)))
def test_new_work_is_sent_only_while_it_is_wanted_and_needed(stage: Stage, ready: bool, wanted: bool) -> None:
    needed = stage in (*NEVER_RAN, Stage.SENT, Stage.TOKEN_SENT, Stage.AUTH_SENT)
    assert may_send(stage, ready, wanted) is (ready and wanted and needed)


@pytest.mark.parametrize(("stage", "signal"), product(Stage, Signal))
def test_transitions_never_lead_back_to_never_ran_after_work(stage: Stage, signal: Signal) -> None:
    target = TRANSITIONS.get((stage, signal))
    order = list(Stage)
    if target is None:
        return
    if signal is Signal.CHALLENGE:
        assert stage in (Stage.SENT, Stage.TOKEN_SENT, Stage.ACKNOWLEDGED) and target is Stage.CHALLENGED
    else:
        assert order.index(target) >= order.index(stage)
    assert stage is not Stage.ANSWERED
    if stage in (Stage.AUTH_SENT, Stage.ACCEPTED):
        assert target not in NEVER_RAN, "a set-up that may have started never counts as never ran"


def test_limits_on_legs_in_total_by_source_and_half_open() -> None:
    admission = Admission(AdmissionLimits(legs=4, legs_per_source=2, half_open=1), 0.0)
    assert admission.refusal_reason("a", True) is None
    admission.add_leg("a", 1, True, 0.0)
    assert admission.refusal_reason("b", True) is RefusalReason.TOO_MANY_HALF_OPEN
    assert admission.refusal_reason("b", False) is None
    admission.record_challenge_answered(1)
    assert admission.refusal_reason("b", True) is None
    admission.add_leg("a", 2, False, 0.0)
    assert admission.refusal_reason("a", False) is RefusalReason.TOO_MANY_OF_SOURCE
    for leg in (3, 4):
        admission.add_leg("b", leg, False, 0.0)
    assert admission.refusal_reason("c", False) is RefusalReason.TOO_MANY
    for source, leg in (("a", 1), ("a", 2), ("b", 3), ("b", 4)):
        admission.remove_leg(source, leg)
    assert admission.legs == 0 and not admission._by_source, "a source without legs is not stored"


def test_half_open_legs_are_overdue_in_the_order_of_their_opening() -> None:
    admission = Admission(AdmissionLimits(half_open_ms=1000.0), 0.0)
    for leg in (1, 2, 3):
        admission.add_leg("a", leg, True, leg * 100.0)
    assert admission.overdue(1099.0) == [] and admission.overdue(1200.0) == [1, 2]
    admission.remove_leg("a", 1)
    assert admission.overdue(1200.0) == [2] and admission.half_open == 2


def test_token_replies_are_limited_for_unknown_sources_and_not_for_proven_ones() -> None:
    admission = Admission(AdmissionLimits(tokens_per_s=100.0), 0.0)
    admission.record_valid_token("honest", 0.0)
    replied = sum(admission.may_reply(f"forged-{number}", number / 20.0) for number in range(20_000))
    assert 100 <= replied <= 130, "replies in 1 s with 20,000 requests"
    assert all(admission.may_reply("honest", 1000.0) for _ in range(1000))
    assert not all(
        admission.may_reply("honest", 200_000.0) for _ in range(1000)
    ), "a source is proven for two minutes"


def test_proven_sources_are_bounded() -> None:
    admission = Admission(AdmissionLimits(), 0.0)
    for number in range(MAX_PROVEN_SOURCES + 10):
        admission.record_valid_token(f"source-{number}", 0.0)
    assert len(admission._proven) == MAX_PROVEN_SOURCES


def test_a_silent_peer_is_pinged_soon_and_lost_before_8_s() -> None:
    liveness = Liveness(0.0)
    for leg in range(5):
        liveness.add(leg, 0.0)
    now, pinged = 0.0, []
    while not (check := liveness.check(now)).is_lost:
        pinged += [now] * len(check.legs_to_ping)
        now += 100.0
    assert QUIET_MS <= pinged[0] <= QUIET_MS + 100 and PEER_LOST_MS <= now <= PEER_LOST_MS + 100
    assert len(pinged) <= 5, "one PING at a time"


def test_an_active_peer_is_not_lost_and_each_leg_is_pinged_in_time() -> None:
    liveness = Liveness(0.0)
    for leg in range(50):
        liveness.add(leg, 0.0)
    pinged: dict[int, int] = {}
    now = 0.0
    while now < 3 * LEG_PING_MS:
        check = liveness.check(now)
        assert not check.is_lost
        for leg in check.legs_to_ping:
            pinged[leg] = pinged.get(leg, 0) + 1
        liveness.record_received(0, now)
        now += 100.0
    assert set(pinged) == set(range(1, 50)), "an active leg needs no PING"
    assert set(pinged.values()) <= {2, 3}


@pytest.mark.parametrize("leg", ["new", "established"])
def test_a_peer_that_speaks_again_on_a_new_leg_alone_is_asked_about_an_old_one(leg: str) -> None:
    """Guards against a new process whose frames on new legs hide that the old ones are gone."""
    liveness = Liveness(0.0)
    liveness.add(1, 0.0)
    liveness.record_received(9 if leg == "new" else 1, RESUMED_AFTER_MS)
    asked = liveness.check(RESUMED_AFTER_MS + 100.0).legs_to_ping
    assert asked == ((1,) if leg == "new" else ())
    assert not liveness.check(RESUMED_AFTER_MS + 200.0).legs_to_ping, "one PING is enough"


def test_a_leg_unknown_to_the_peer_causes_a_timely_audit_of_all_others() -> None:
    liveness = Liveness(0.0)
    for leg in range(1000):
        liveness.add(leg, 0.0)
    liveness.remove(0)
    liveness.start_audit(100.0)
    now, pinged = 100.0, set()
    while now <= 100.0 + AUDIT_MS + 200.0:
        liveness.record_received(1, now)
        pinged |= set(liveness.check(now).legs_to_ping)
        now += 100.0
    assert pinged >= set(range(2, 1000))


def test_legs_of_many_peers_are_each_pinged_however_long_all_are_silent() -> None:
    liveness = Liveness(0.0, is_single_peer=False)
    for leg in range(20):
        liveness.add(leg, 0.0)
    pinged: set[int] = set()
    for now in range(0, int(2 * LEG_PING_MS), 100):
        check = liveness.check(float(now))
        pinged |= set(check.legs_to_ping)
        assert not check.is_lost
    assert pinged == set(range(20))


def test_silence_counts_from_the_first_established_leg() -> None:
    liveness = Liveness(0.0)
    assert liveness.check(60_000.0).is_lost is False
    liveness.add(1, 60_000.0)
    assert not liveness.check(60_000.0 + PEER_LOST_MS - 1).is_lost
    liveness.remove(1)
    assert not liveness.check(60_000.0 + PEER_LOST_MS + 1).is_lost and len(liveness) == 0


def test_numbers_are_allocated_once_reused_after_a_delay_and_run_out() -> None:
    numbers = CallNumbers(first=3, count=5)
    assert [numbers.allocate(0.0) for _ in range(6)] == [3, 4, 5, 1, 2, None]
    numbers.release(4, 10.0)
    assert numbers.allocate(10.0 + REUSE_DELAY_MS - 1) is None
    assert numbers.allocate(10.0 + REUSE_DELAY_MS) == 4


@given(st.binary(max_size=80))
def test_no_forged_token_is_valid(token: bytes) -> None:
    assert not call_tokens.is_valid(b"k", ("127.0.0.1", 4569), 7, token, 1_000_000.0)


def test_a_token_is_valid_only_for_its_source_number_and_time() -> None:
    source, now = ("127.0.0.1", 4569), 1_800_000_000_000.0
    token = call_tokens.issue(b"key", source, 7, now)
    assert call_tokens.is_valid(b"key", source, 7, token, now + call_tokens.LIFETIME_MS - 1)
    assert call_tokens.age_ms(token, now + 250.0) == 250.0
    for key, address, number, now_ms in (
        (b"other", source, 7, now),
        (b"key", ("127.0.0.2", 4569), 7, now),
        (b"key", ("127.0.0.1", 4570), 7, now),
        (b"key", source, 8, now),
        (b"key", source, 7, now + call_tokens.LIFETIME_MS + 1),
        (b"key", source, 7, now - 1000),
    ):
        assert not call_tokens.is_valid(key, address, number, token, now_ms)
