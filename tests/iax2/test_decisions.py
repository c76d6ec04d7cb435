"""The pure decisions: doubt, admission, liveness, call numbers, tokens. Every cell and every bound."""

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
from pearloom.iax2.liveness import AUDIT_MS, LEG_PING_MS, PEER_LOST_MS, QUIET_MS, Liveness
from pearloom.iax2.out_leg import TRANSITIONS, Signal
from pearloom.interface import Ending

PROVEN = (Ending.NOT_SENT, Ending.UNREACHABLE, Ending.FULL)


# --- doubt --------------------------------------------------------------------------------------------------
@pytest.mark.parametrize(("stage", "end"), product(Stage, SetUpFailure))
def test_never_ran_is_said_only_where_the_peer_kept_nothing(stage: Stage, end: SetUpFailure) -> None:
    if stage is Stage.ANSWERED:
        with pytest.raises(ValueError, match="answered"):
            ending_for_failure(stage, end)
        return
    ending = ending_for_failure(stage, end)
    if stage in NEVER_RAN:
        assert ending in PROVEN or (end is SetUpFailure.SPOILT and ending is Ending.ERROR)
    else:
        assert ending in (Ending.RESET, Ending.TIMED_OUT, Ending.CANCELLED), "in doubt: 300 ms follow"


def test_stages_that_prove_are_those_before_any_work() -> None:
    assert {Stage.NOTHING_SENT, Stage.TOKEN_ASKED, Stage.CHALLENGED} == NEVER_RAN


@pytest.mark.parametrize(
    ("cause", "ending"),
    [(42, Ending.FULL), (34, Ending.FULL), (17, Ending.ERROR), (27, Ending.NOT_SENT), (38, Ending.RESET),
     (102, Ending.TIMED_OUT), (41, Ending.ERROR), (16, Ending.ERROR), (0, Ending.ERROR), (255, Ending.ERROR)],
)  # fmt: skip
def test_causes_of_a_reject(cause: int, ending: Ending) -> None:
    assert ending_for_cause(Stage.ACKNOWLEDGED, cause) is ending
    after_work = ending_for_cause(Stage.ACCEPTED, cause)
    assert after_work not in PROVEN and (ending in PROVEN or after_work is ending)


@pytest.mark.parametrize(("stage", "ready", "wanted"), product(Stage, (True, False), (True, False)))
def test_new_work_leaves_only_while_it_is_wanted_and_needed(stage: Stage, ready: bool, wanted: bool) -> None:
    needed = stage in (*NEVER_RAN, Stage.SENT, Stage.TOKEN_SENT, Stage.AUTH_SENT)
    assert may_send(stage, ready, wanted) is (ready and wanted and needed)


@pytest.mark.parametrize(("stage", "signal"), product(Stage, Signal))
def test_moves_never_lead_back_to_a_proof_after_work(stage: Stage, signal: Signal) -> None:
    done = TRANSITIONS.get((stage, signal))
    order = list(Stage)
    if done is None:
        return
    if signal is Signal.CHALLENGE:
        assert stage in (Stage.SENT, Stage.TOKEN_SENT, Stage.ACKNOWLEDGED) and done is Stage.CHALLENGED
    else:
        assert order.index(done) >= order.index(stage)
    assert stage is not Stage.ANSWERED
    if stage in (Stage.AUTH_SENT, Stage.ACCEPTED):
        assert done not in NEVER_RAN, "what may have begun is not proven away"


# --- admission ----------------------------------------------------------------------------------------------
def test_limits_on_legs_in_all_by_source_and_half_open() -> None:
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
    assert admission.legs == 0 and not admission._by_source, "a source without legs is not kept"


def test_half_open_legs_are_overdue_in_the_order_that_they_came() -> None:
    admission = Admission(AdmissionLimits(half_open_ms=1000.0), 0.0)
    for leg in (1, 2, 3):
        admission.add_leg("a", leg, True, leg * 100.0)
    assert admission.overdue(1099.0) == [] and admission.overdue(1200.0) == [1, 2]
    admission.remove_leg("a", 1)
    assert admission.overdue(1200.0) == [2] and admission.half_open == 2


def test_token_replies_are_limited_for_strangers_and_free_for_the_proven() -> None:
    admission = Admission(AdmissionLimits(tokens_per_s=100.0), 0.0)
    admission.record_valid_token("honest", 0.0)
    replied = sum(admission.may_reply(f"forged-{number}", number / 20.0) for number in range(20_000))
    assert 100 <= replied <= 130, "a second at 20,000 a second"
    assert all(admission.may_reply("honest", 1000.0) for _ in range(1000))
    assert not all(admission.may_reply("honest", 200_000.0) for _ in range(1000)), "known for two minutes"


def test_proven_sources_are_bounded() -> None:
    admission = Admission(AdmissionLimits(), 0.0)
    for number in range(MAX_PROVEN_SOURCES + 10):
        admission.record_valid_token(f"source-{number}", 0.0)
    assert len(admission._proven) == MAX_PROVEN_SOURCES


# --- liveness -----------------------------------------------------------------------------------------------
def test_a_silent_peer_is_asked_soon_and_given_up_before_8_s() -> None:
    liveness = Liveness(0.0)
    for leg in range(5):
        liveness.add(leg, 0.0)
    now, asked = 0.0, []
    while not (check := liveness.check(now)).is_lost:
        asked += [now] * len(check.legs_to_ping)
        now += 100.0
    assert QUIET_MS <= asked[0] <= QUIET_MS + 100 and PEER_LOST_MS <= now <= PEER_LOST_MS + 100
    assert len(asked) <= 5, "one leg at a time"


def test_a_peer_that_is_heard_is_not_given_up_and_each_leg_is_asked_in_its_time() -> None:
    liveness = Liveness(0.0)
    for leg in range(50):
        liveness.add(leg, 0.0)
    asked: dict[int, int] = {}
    now = 0.0
    while now < 3 * LEG_PING_MS:
        check = liveness.check(now)
        assert not check.is_lost
        for leg in check.legs_to_ping:
            asked[leg] = asked.get(leg, 0) + 1
        liveness.record_received(0, now)
        now += 100.0
    assert set(asked) == set(range(1, 50)), "the one that talks needs no question"
    assert set(asked.values()) <= {2, 3}


def test_a_leg_that_is_not_known_there_brings_all_others_under_question_in_time() -> None:
    liveness = Liveness(0.0)
    for leg in range(1000):
        liveness.add(leg, 0.0)
    liveness.remove(0)
    liveness.start_audit(100.0)
    now, asked = 100.0, set()
    while now <= 100.0 + AUDIT_MS + 200.0:
        liveness.record_received(1, now)
        asked |= set(liveness.check(now).legs_to_ping)
        now += 100.0
    assert asked >= set(range(2, 1000))


def test_legs_of_many_peers_are_each_asked_however_long_all_are_silent() -> None:
    liveness = Liveness(0.0, is_single_peer=False)
    for leg in range(20):
        liveness.add(leg, 0.0)
    asked: set[int] = set()
    for now in range(0, int(2 * LEG_PING_MS), 100):
        check = liveness.check(float(now))
        asked |= set(check.legs_to_ping)
        assert not check.is_lost
    assert asked == set(range(20))


def test_silence_counts_from_when_something_stands() -> None:
    liveness = Liveness(0.0)
    assert liveness.check(60_000.0).is_lost is False
    liveness.add(1, 60_000.0)
    assert not liveness.check(60_000.0 + PEER_LOST_MS - 1).is_lost
    liveness.remove(1)
    assert not liveness.check(60_000.0 + PEER_LOST_MS + 1).is_lost and len(liveness) == 0


# --- call numbers -------------------------------------------------------------------------------------------
def test_numbers_are_given_once_rest_and_run_out() -> None:
    numbers = CallNumbers(first=3, count=5)
    assert [numbers.allocate(0.0) for _ in range(6)] == [3, 4, 5, 1, 2, None]
    numbers.release(4, 10.0)
    assert numbers.allocate(10.0 + REUSE_DELAY_MS - 1) is None
    assert numbers.allocate(10.0 + REUSE_DELAY_MS) == 4


# --- tokens -------------------------------------------------------------------------------------------------
@given(st.binary(max_size=80))
def test_no_made_up_token_holds(token: bytes) -> None:
    assert not call_tokens.is_valid(b"k", ("127.0.0.1", 4569), 7, token, 1_000_000.0)


def test_a_token_holds_for_its_source_number_and_time_alone() -> None:
    source, now = ("127.0.0.1", 4569), 1_800_000_000_000.0
    token = call_tokens.issue(b"key", source, 7, now)
    assert call_tokens.is_valid(b"key", source, 7, token, now + call_tokens.LIFETIME_MS - 1)
    assert call_tokens.age_ms(token, now + 250.0) == 250.0
    for key, where, number, at in (
        (b"other", source, 7, now),
        (b"key", ("127.0.0.2", 4569), 7, now),
        (b"key", ("127.0.0.1", 4570), 7, now),
        (b"key", source, 8, now),
        (b"key", source, 7, now + call_tokens.LIFETIME_MS + 1),
        (b"key", source, 7, now - 1000),
    ):
        assert not call_tokens.is_valid(key, where, number, token, at)
