"""Each row of the table of a rollout's steps; stages, confirmations and the local guard."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearloom.coordination.port import Entry, Snapshot
from pearloom.core.outcomes import CallOutcome
from pearloom.rollout import confirm, stages, steps
from pearloom.rollout.confirm import Confirmation
from pearloom.rollout.evidence import Evidence, Tally, stage_id
from pearloom.rollout.guard import MAX_COUNTED_CALLS, LocalGuard
from pearloom.rollout.steps import StageObservation, next_step, nobody_published
from pearloom.rules.head import Head, HeadState, Operation, Request, Rollout, RolloutTerms

TERMS = RolloutTerms(soak_ms=10_000, evidence_ms=60_000, least_calls=20, silent_ms=5_000, away_ms=8_000)
NEW, OLD = "1" * 32, "0" * 32
ROLLOUT = Rollout(4, NEW, (0.0, 0.5), 0, ("n1",), TERMS)
STATE = HeadState(Head(version=OLD, number=4, rollout=ROLLOUT), mod_revision=9)
ZONES = {"n1": "a", "n2": "a", "n3": "b", "n4": "b"}
REQUEST = Request("n3", "tag", "")


EvidenceMap = dict[tuple[str, int], Evidence]


def evidence_of(
    name: str, version: str, outcomes: list[CallOutcome], stage: int = 0, broken: int = 0
) -> EvidenceMap:
    tally = Tally(("a",), stage_id(4, stage), 0.0, 2_000.0)
    for index, outcome in enumerate(outcomes):
        tally.record_end(version, tally.arrival_mark(200.0 * index), 0, outcome, 10.0, 200.0 * index)
    return {(name, 1): tally.evidence(1, 1, ZONES[name], broken, 12_000.0)}


GOOD_EVIDENCE = evidence_of("n1", NEW, [CallOutcome.STOOD] * 30) | evidence_of(
    "n2", OLD, [CallOutcome.STOOD] * 30
)
CONFIRMED = {"n1": Confirmation(1, 1, 4, NEW)}
LEFT = {"n1": Confirmation(1, 1, 4, OLD, 4, "worse")}
OBSERVATION = StageObservation(12_000.0, 0.0, {"n1": 11_000.0}, GOOD_EVIDENCE, CONFIRMED, ZONES)
BAD_EVIDENCE = evidence_of("n1", NEW, [CallOutcome.FAILED, CallOutcome.STOOD] * 30) | evidence_of(
    "n2", OLD, [CallOutcome.STOOD] * 60
)


@pytest.mark.parametrize(
    ("observation", "operation", "reason"),
    [
        (OBSERVATION, Operation.WIDENED, "30 calls under the new version"),
        (replace(OBSERVATION, is_fresh=False), None, ""),
        (replace(OBSERVATION, now_ms=9_000.0), None, ""),  # soak time not over
        (replace(OBSERVATION, confirmations={}), None, ""),  # not confirmed
        (replace(OBSERVATION, confirmations={"n1": Confirmation(1, 1, 4, OLD)}), None, ""),
        # no evidence from the member of the stage
        (replace(OBSERVATION, evidence=evidence_of("n2", OLD, [CallOutcome.STOOD] * 30)), None, ""),
        (replace(OBSERVATION, store_lost_ms=9_000.0),
         Operation.HALTED, "nobody could write to the store for 9 s"),
        (replace(OBSERVATION, confirmations=LEFT), Operation.HALTED, "n1 went back by itself"),
        (replace(OBSERVATION, confirmations=CONFIRMED | {"n1": Confirmation(1, 1, 4, NEW, 3, "old")}),
         Operation.WIDENED, ""),
        (
            replace(OBSERVATION, evidence=GOOD_EVIDENCE | evidence_of("n1", NEW, [], broken=2)),
            Operation.HALTED,
            "2 decisions failed at n1",
        ),
        (replace(OBSERVATION,
                 evidence=GOOD_EVIDENCE | evidence_of("n2", OLD, [CallOutcome.STOOD] * 9, broken=2)),
         Operation.WIDENED, ""),
        (replace(OBSERVATION, now_ms=17_000.0), Operation.HALTED, "n1 has told nothing for 6.0 s"),
        (replace(OBSERVATION, last_published_ms={}, now_ms=4_000.0), None, ""),
        (replace(OBSERVATION, last_published_ms={}, now_ms=6_000.0), Operation.HALTED, "n1 has told nothing"),
        (replace(OBSERVATION, evidence=BAD_EVIDENCE),
         Operation.HALTED, "failed of class a: 30 of 60 new, 0 of 60 old"),
        (replace(OBSERVATION, now_ms=61_000.0, last_published_ms={"n1": 60_500.0},
                 evidence=evidence_of("n1", NEW, [CallOutcome.STOOD] * 5)),
         Operation.HALTED, "5 calls under the new version in 61 s, 20 required"),
    ],
)  # fmt: skip
def test_each_row_of_the_table_of_steps(
    observation: StageObservation, operation: Operation | None, reason: str
) -> None:
    step = next_step(STATE, observation, REQUEST, 4)
    assert (step.operation if step else None) is operation
    if step is not None:
        assert reason in step.reason
        assert step.transaction.compares[0].mod_revision == 9, "compares with the head it is based on"


@pytest.mark.parametrize(
    "state",
    [
        HeadState(Head(version=OLD, number=4), mod_revision=9),
        HeadState(
            Head(version=OLD, number=4, rollout=msgspec.structs.replace(ROLLOUT, halted="why")),
            mod_revision=9,
        ),
        replace(STATE, unreadable=("rules/head",)),
    ],
)
def test_without_an_active_rollout_there_is_no_step(state: HeadState) -> None:
    assert next_step(state, replace(OBSERVATION, evidence=BAD_EVIDENCE), REQUEST, 4) is None


def test_the_last_stage_completes_the_rollout() -> None:
    last_stage = msgspec.structs.replace(ROLLOUT, stage=1)
    state = HeadState(msgspec.structs.replace(STATE.head, rollout=last_stage), mod_revision=9)
    good_evidence = evidence_of("n1", NEW, [CallOutcome.STOOD] * 30, 1) | evidence_of(
        "n2", OLD, [CallOutcome.STOOD] * 30, 1
    )
    step = next_step(state, replace(OBSERVATION, evidence=good_evidence), REQUEST, 4)
    assert step is not None and step.operation is Operation.COMPLETED
    head: Head = msgspec.json.decode(step.transaction.writes[0].value or b"", type=Head)
    assert (head.version, head.before, head.rollout, head.number) == (NEW, OLD, None, 5)


def test_a_broken_link_of_this_softswitch_is_distinguished_from_a_lost_store() -> None:
    assert nobody_published({"n1": 5, "n2": 9}, {"n1": 6, "n2": 9})
    assert not nobody_published({"n1": 5, "n2": 9}, {"n1": 8, "n2": 9})


@given(
    st.dictionaries(st.text("abcdefgh", min_size=1, max_size=4), st.sampled_from("xyz"), min_size=2),
    st.integers(0, 99), st.floats(0, 0.99), st.floats(0, 0.99),
)  # fmt: skip
def test_stages_are_nested_spread_over_zones_and_never_contain_all(
    names: dict[str, str], rollout: int, first: float, second: float
) -> None:
    small, large = (stages.members(names, rollout, share) for share in sorted((first, second)))
    assert set(small) <= set(large) and len(small) >= 1 and len(large) < len(names)
    assert sorted(stages.order(names, rollout)) == sorted(names)
    zones = [names[name] for name in large]
    expected_zones = min(len(zones), len(set(names.values())))
    assert (
        len(set(zones)) == expected_zones
    ), "a zone gets a second member only after every other zone has one"
    remaining = dict(list(names.items())[1:])
    assert [name for name in stages.order(names, rollout) if name in remaining and names[name] == "x"] == [
        name for name in stages.order(remaining, rollout) if names[name] == "x"
    ], "a softswitch that leaves does not reorder the others of its zone"


def test_the_rate_of_values_at_the_store_is_bounded_for_any_fleet() -> None:
    assert stages.publish_interval_ms(1_000.0, 16) == 1_000.0
    for fleet in (200, 1_000):
        assert fleet / stages.publish_interval_ms(1_000.0, fleet) * 1_000.0 <= 50.0
        assert stages.silence_limit_ms(5_000.0, 1_000.0, fleet) >= 4 * stages.publish_interval_ms(
            1_000.0, fleet
        )


def test_a_confirmation_by_an_earlier_incarnation_does_not_count() -> None:
    confirmations = {
        "n1": Confirmation(1, 7, 5, OLD),
        "n2": Confirmation(1, 7, 5, OLD),
        "n3": Confirmation(1, 1, 4, OLD),
    }
    status = confirm.confirmation_status(5, {"n1": 7, "n2": 8}, ("n3", "n4"), confirmations)
    assert status.pending == ("n2",) and status.absent == ("n3", "n4") and not status.is_complete
    assert confirm.confirmation_status(5, {"n1": 7}, (), confirmations).is_complete


def test_a_stored_confirmation_is_not_rewritten_and_a_corrupt_one_is_left_out() -> None:
    confirmation = Confirmation(1, 7, 5, OLD)
    transaction = confirm.confirmation_transaction(Snapshot(1, 1, ()), "n1", confirmation)
    assert transaction is not None and transaction.compares[0].mod_revision == 0
    entry = Entry("rules/at/n1", transaction.writes[0].value or b"", 2, 2)
    corrupt = Entry("rules/at/n2", b'{"format": 1}', 2, 2)
    snapshot = Snapshot(1, 2, (entry, corrupt))
    assert confirm.confirmation_transaction(snapshot, "n1", confirmation) is None
    assert confirm.confirmations(snapshot) == {"n1": confirmation}


def test_the_local_guard_finds_a_regression_of_its_own_calls() -> None:
    guard = LocalGuard(("a", "b"))
    for index in range(400):
        guard.record_outcome(OLD, 1, CallOutcome.STOOD if index % 50 else CallOutcome.FAILED, 100.0 * index)
    assert guard.regression(NEW, OLD, 1.25, 0.01) == "", "no call under the new version yet"
    for index in range(100):
        guard.record_outcome(
            NEW, 1, CallOutcome.STOOD if index % 50 else CallOutcome.FAILED, 50_000.0 + 100.0 * index
        )
    assert guard.regression(NEW, OLD, 1.25, 0.01) == "", "the same rate as before"
    for index in range(100):
        guard.record_outcome(
            NEW, 1, CallOutcome.STOOD if index % 3 else CallOutcome.FAILED, 70_000.0 + 100.0 * index
        )
    assert "failed of class b" in guard.regression(NEW, OLD, 1.25, 0.01)
    guard.forget(NEW)
    assert guard.regression(NEW, OLD, 1.25, 0.01) == ""


def test_counts_and_versions_of_the_local_guard_are_bounded() -> None:
    guard = LocalGuard(("a",))
    for index in range(3 * MAX_COUNTED_CALLS):
        guard.record_outcome(OLD, 0, CallOutcome.STOOD, float(index))
    assert sum(guard._counts[OLD, 0].outcomes) <= MAX_COUNTED_CALLS
    for version in range(50):
        guard.record_outcome(f"{version}", 0, CallOutcome.STOOD, 0.0)
    guard.retain([OLD])
    assert list(guard._counts) == [(OLD, 0)]


def test_a_confirmation_with_an_overlong_reason_is_left_out() -> None:
    too_long = Confirmation(1, 1, 4, OLD, 4, "x" * 10_000)
    entry = Entry("rules/at/n1", msgspec.json.encode(too_long), 2, 2)
    assert confirm.confirmations(Snapshot(1, 2, (entry,))) == {}
    assert steps.stage_rate(ROLLOUT) == TERMS.rate / 2
