"""Set-ups that wait until the previous process of an upgrade has decided about their ids."""

from __future__ import annotations

import pytest

from pearloom.core.calls import NullCaller, SetUpRequest
from pearloom.core.clock import Clock
from pearloom.core.counters import Counters, Metrics
from pearloom.core.reporting import OutcomeReporter
from pearloom.core.set_up_admission import CLAIM_TIMEOUT_MS, SetUpAdmission

CALL = "9b1f03aa5c7e2d41"


class Recorder(NullCaller):
    """A caller that records its answers."""

    def __init__(self) -> None:
        self.answers: list[str] = []
        self.is_connected = True

    def send_refusal(self, call: str, stay_away_ms: float) -> None:
        self.answers.append("refused")

    def send_failure(self, call: str) -> None:
        self.answers.append("failed")


class Next:
    """The admission of a next process."""

    def __init__(self) -> None:
        self.clock, self.counters = Clock(), Counters()
        self.clock.set_ms(0.0)
        self.caller = Recorder()
        self.begun: list[float] = []  # patience of each
        self.claimed: list[str] = []
        reporter = OutcomeReporter(self.clock, self.counters, Metrics(["open-form"]), [])
        self.admission = SetUpAdmission(
            self.clock, self.counters, reporter, 192.0, 0.0,
            lambda request, caller: self.begun.append(request.patience_ms),
        )  # fmt: skip
        self.admission.send_claim = self.claimed.append
        self.admission.handle(SetUpRequest(CALL, 0, "open-form", "31", b"x", 3000.0, 0), self.caller)


def test_a_claimed_set_up_begins_with_what_is_left_of_its_patience() -> None:
    following = Next()
    assert following.claimed == [CALL] and not following.begun and CALL in following.admission
    following.clock.set_ms(20.0)
    following.admission.settle_claim(CALL, is_granted=True)
    following.admission.settle_claim(CALL, is_granted=True)
    assert following.begun == [2980.0] and following.admission.count == 1


def test_a_denied_set_up_fails_once_and_frees_its_place() -> None:
    following = Next()
    following.admission.settle_claim(CALL, is_granted=False)
    following.admission.end_claims()
    assert following.caller.answers == ["failed"] and not following.begun and following.admission.count == 0


def test_a_previous_process_that_hangs_delays_a_set_up_for_a_limited_time() -> None:
    following = Next()
    following.clock.set_ms(CLAIM_TIMEOUT_MS)
    following.admission.settle_overdue()
    assert not following.begun
    following.clock.set_ms(CLAIM_TIMEOUT_MS + 1)
    following.admission.settle_overdue()
    assert len(following.begun) == 1 and following.counters.get("claims_unanswered") == 1


def test_a_set_up_begins_when_the_previous_process_ends() -> None:
    following = Next()
    following.admission.end_claims()
    assert len(following.begun) == 1 and following.admission.send_claim is None


@pytest.mark.parametrize("how", ["withdrawn", "left", "late"])
def test_a_set_up_whose_caller_has_left_does_not_begin(how: str) -> None:
    following = Next()
    if how == "withdrawn":
        assert following.admission.withdraw(CALL)
    elif how == "left":
        following.caller.is_connected = False
    else:
        following.clock.set_ms(3000.0)
    following.admission.settle_claim(CALL, is_granted=True)
    assert not following.begun and following.admission.count == 0
    assert following.caller.answers == ([] if how == "withdrawn" else ["refused"])


def test_a_set_up_that_waits_at_the_end_of_the_process_is_refused() -> None:
    following = Next()
    following.admission.refuse_waiting()
    assert following.caller.answers == ["refused"] and following.admission.count == 0
