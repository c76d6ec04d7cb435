"""Each row of the table of a rollout's steps, its stages, its confirmations and the own guard."""

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
from pearloom.rollout.guard import HALVED_AT, LocalGuard
from pearloom.rollout.steps import Seen, next_step, nobody_wrote
from pearloom.rules.head import Head, HeadState, Operation, Request, Rollout, Terms

TERMS = Terms(soak_ms=10_000, evidence_ms=60_000, least_calls=20, silent_ms=5_000, away_ms=8_000)
NEW, OLD = "1" * 32, "0" * 32
ROLLOUT = Rollout(4, NEW, (0.0, 0.5), 0, ("n1",), TERMS)
THERE = HeadState(Head(version=OLD, number=4, rollout=ROLLOUT), mod=9)
ZONES = {"n1": "a", "n2": "a", "n3": "b", "n4": "b"}
ME = Request("n3", "tag", "")


Told = dict[tuple[str, int], Evidence]


def told(name: str, version: str, ends: list[CallOutcome], stage: int = 0, broken: int = 0) -> Told:
    tally = Tally(("a",), stage_id(4, stage), 0.0, 2_000.0)
    for at, end in enumerate(ends):
        tally.record_end(version, tally.arrival_mark(200.0 * at), 0, end, 10.0, 200.0 * at)
    return {(name, 1): tally.evidence(1, 1, ZONES[name], broken, 12_000.0)}


WELL = told("n1", NEW, [CallOutcome.STOOD] * 30) | told("n2", OLD, [CallOutcome.STOOD] * 30)
SAID = {"n1": Confirmation(1, 1, 4, NEW)}
LEFT = {"n1": Confirmation(1, 1, 4, OLD, 4, "worse")}
SEEN = Seen(12_000.0, 0.0, {"n1": 11_000.0}, WELL, SAID, ZONES)
BAD = told("n1", NEW, [CallOutcome.FAILED, CallOutcome.STOOD] * 30) | told(
    "n2", OLD, [CallOutcome.STOOD] * 60
)


@pytest.mark.parametrize(
    ("seen", "did", "why"),
    [
        (SEEN, Operation.WIDENED, "30 calls under the new version"),
        (replace(SEEN, fresh=False), None, ""),
        (replace(SEEN, now_ms=9_000.0), None, ""),  # soak
        (replace(SEEN, said={}), None, ""),  # not confirmed
        (replace(SEEN, said={"n1": Confirmation(1, 1, 4, OLD)}), None, ""),
        # nothing told of the stage
        (replace(SEEN, told=told("n2", OLD, [CallOutcome.STOOD] * 30)), None, ""),
        (replace(SEEN, away_ms=9_000.0), Operation.HALTED, "nobody could write to the store for 9 s"),
        (replace(SEEN, said=LEFT), Operation.HALTED, "n1 went back by itself"),
        (replace(SEEN, said=SAID | {"n1": Confirmation(1, 1, 4, NEW, 3, "old")}), Operation.WIDENED, ""),
        (
            replace(SEEN, told=WELL | told("n1", NEW, [], broken=2)),
            Operation.HALTED,
            "2 decisions broke at n1",
        ),
        (replace(SEEN, told=WELL | told("n2", OLD, [CallOutcome.STOOD] * 9, broken=2)),
         Operation.WIDENED, ""),
        (replace(SEEN, now_ms=17_000.0), Operation.HALTED, "n1 has told nothing for 6.0 s"),
        (replace(SEEN, heard_ms={}, now_ms=4_000.0), None, ""),
        (replace(SEEN, heard_ms={}, now_ms=6_000.0), Operation.HALTED, "n1 has told nothing"),
        (replace(SEEN, told=BAD), Operation.HALTED, "failed of class a: 30 of 60 new, 0 of 60 old"),
        (replace(SEEN, now_ms=61_000.0, heard_ms={"n1": 60_500.0},
                 told=told("n1", NEW, [CallOutcome.STOOD] * 5)),
         Operation.HALTED, "5 calls under the new version in 61 s, 20 wanted"),
    ],
)  # fmt: skip
def test_each_row_of_the_table(seen: Seen, did: Operation | None, why: str) -> None:
    step = next_step(THERE, seen, ME, 4)
    assert (step.did if step else None) is did
    if step is not None:
        assert why in step.why
        assert step.attempt.compares[0].mod_revision == 9, "compares with the head that it was computed from"


@pytest.mark.parametrize(
    "there",
    [
        HeadState(Head(version=OLD, number=4), mod=9),
        HeadState(Head(version=OLD, number=4, rollout=msgspec.structs.replace(ROLLOUT, halted="why")), mod=9),
        replace(THERE, unreadable=("rules/head",)),
    ],
)
def test_nothing_is_done_without_a_rollout_that_goes_on(there: HeadState) -> None:
    assert next_step(there, replace(SEEN, told=BAD), ME, 4) is None


def test_the_last_stage_completes() -> None:
    last = msgspec.structs.replace(ROLLOUT, stage=1)
    there = HeadState(msgspec.structs.replace(THERE.head, rollout=last), mod=9)
    well = told("n1", NEW, [CallOutcome.STOOD] * 30, 1) | told("n2", OLD, [CallOutcome.STOOD] * 30, 1)
    step = next_step(there, replace(SEEN, told=well), ME, 4)
    assert step is not None and step.did is Operation.COMPLETED
    head: Head = msgspec.json.decode(step.attempt.writes[0].value or b"", type=Head)
    assert (head.version, head.before, head.rollout, head.number) == (NEW, OLD, None, 5)


def test_the_own_cut_link_is_told_from_a_lost_store() -> None:
    assert nobody_wrote({"n1": 5, "n2": 9}, {"n1": 6, "n2": 9})
    assert not nobody_wrote({"n1": 5, "n2": 9}, {"n1": 8, "n2": 9})


# --- stages -------------------------------------------------------------------------------------------------
@given(
    st.dictionaries(st.text("abcdefgh", min_size=1, max_size=4), st.sampled_from("xyz"), min_size=2),
    st.integers(0, 99), st.floats(0, 0.99), st.floats(0, 0.99),
)  # fmt: skip
def test_stages_contain_each_other_spread_over_zones_and_never_take_all(
    names: dict[str, str], rollout: int, first: float, second: float
) -> None:
    small, large = (stages.members(names, rollout, share) for share in sorted((first, second)))
    assert set(small) <= set(large) and len(small) >= 1 and len(large) < len(names)
    assert sorted(stages.order(names, rollout)) == sorted(names)
    zones = [names[name] for name in large]
    most = min(len(zones), len(set(names.values())))
    assert len(set(zones)) == most, "a zone comes again only after every other one had its turn"
    left = dict(list(names.items())[1:])
    assert [name for name in stages.order(names, rollout) if name in left and names[name] == "x"] == [
        name for name in stages.order(left, rollout) if names[name] == "x"
    ], "one that goes moves no other within a zone"


def test_the_store_bears_the_same_number_of_values_whatever_the_fleet() -> None:
    assert stages.publish_interval_ms(1_000.0, 16) == 1_000.0
    for fleet in (200, 1_000):
        assert fleet / stages.publish_interval_ms(1_000.0, fleet) * 1_000.0 <= 50.0
        assert stages.silent_ms(5_000.0, 1_000.0, fleet) >= 4 * stages.publish_interval_ms(1_000.0, fleet)


# --- confirmations ------------------------------------------------------------------------------------------
def test_what_a_former_life_said_confirms_nothing() -> None:
    said = {
        "n1": Confirmation(1, 7, 5, OLD),
        "n2": Confirmation(1, 7, 5, OLD),
        "n3": Confirmation(1, 1, 4, OLD),
    }
    found = confirm.followed(5, {"n1": 7, "n2": 8}, ("n3", "n4"), said)
    assert found.pending == ("n2",) and found.absent == ("n3", "n4") and not found.is_complete
    assert confirm.followed(5, {"n1": 7}, (), said).is_complete


def test_what_is_said_already_is_not_written_again_and_what_is_spoilt_counts_as_nothing() -> None:
    said = Confirmation(1, 7, 5, OLD)
    first = confirm.confirm(Snapshot(1, 1, ()), "n1", said)
    assert first is not None and first.compares[0].mod_revision == 0
    entry = Entry("rules/at/n1", first.writes[0].value or b"", 2, 2)
    spoilt = Entry("rules/at/n2", b'{"format": 1}', 2, 2)
    there = Snapshot(1, 2, (entry, spoilt))
    assert confirm.confirm(there, "n1", said) is None
    assert confirm.confirmations(there) == {"n1": said}


# --- the own guard ------------------------------------------------------------------------------------------
def test_the_guard_sees_its_own_regress_and_no_other() -> None:
    own = LocalGuard(("a", "b"))
    for at in range(400):
        own.ended(OLD, 1, CallOutcome.STOOD if at % 50 else CallOutcome.FAILED, 100.0 * at)
    assert own.regressed(NEW, OLD, 1.25, 0.01) == "", "nothing is known of the new one"
    for at in range(100):
        own.ended(NEW, 1, CallOutcome.STOOD if at % 50 else CallOutcome.FAILED, 50_000.0 + 100.0 * at)
    assert own.regressed(NEW, OLD, 1.25, 0.01) == "", "as before"
    for at in range(100):
        own.ended(NEW, 1, CallOutcome.STOOD if at % 3 else CallOutcome.FAILED, 70_000.0 + 100.0 * at)
    assert "failed of class b" in own.regressed(NEW, OLD, 1.25, 0.01)
    own.forget(NEW)
    assert own.regressed(NEW, OLD, 1.25, 0.01) == ""


def test_the_guard_forgets_and_holds_a_bounded_number_of_versions() -> None:
    own = LocalGuard(("a",))
    for at in range(3 * HALVED_AT):
        own.ended(OLD, 0, CallOutcome.STOOD, float(at))
    assert sum(own._counts[OLD, 0].ends) <= HALVED_AT
    for version in range(50):
        own.ended(f"{version}", 0, CallOutcome.STOOD, 0.0)
    own.keep([OLD])
    assert list(own._counts) == [(OLD, 0)]


def test_reasons_are_bounded() -> None:
    long = Confirmation(1, 1, 4, OLD, 4, "x" * 10_000)
    entry = Entry("rules/at/n1", msgspec.json.encode(long), 2, 2)
    assert confirm.confirmations(Snapshot(1, 2, (entry,))) == {}
    assert steps.stage_rate(ROLLOUT) == TERMS.rate / 2
