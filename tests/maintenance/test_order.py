"""The order of waiting slots, the reasons for which they wait, and each step of a slot."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearloom.coordination import timing
from pearloom.coordination.port import Entry, Snapshot
from pearloom.maintenance import records, steps
from pearloom.maintenance.order import Fleet, Machine, WaitReason, queue, wait_reasons
from pearloom.maintenance.records import (
    FORMAT,
    Limits,
    MachineKind,
    MaintenanceError,
    Phase,
    Slot,
    SlotLedger,
    Slots,
    StoredSlot,
)
from pearloom.maintenance.steps import DONE_RETENTION_MS, LocalSoftswitch, Step

WIDE_LIMITS = Limits(
    out=9, out_zone=9, out_cell=9, floor=0.0, take_up_ms=1_000, drain_ms=2_000, settle_ms=3_000
)


def slot(
    number: int,
    machine: str = "",
    zone: str = "a",
    urgent: bool = False,
    phase: Phase = Phase.WAITING,
    kind: MachineKind = MachineKind.SOFTSWITCH,
    cell: str = "",
    grant: int = 0,
    note: str = "",
) -> StoredSlot:
    name = machine or f"n{number}"
    new_slot = Slot(
        FORMAT, f"t{number}", kind, name, zone, cell, urgent, "n1", "", number, phase, grant, note
    )
    return StoredSlot(new_slot, 10 + number, records.encode(new_slot))


def machine(
    name: str, zone: str = "a", is_ready: bool = True, incarnation: int = 1, cell: str = ""
) -> Machine:
    kind = MachineKind.SERVER if name.startswith("s-") else MachineKind.SOFTSWITCH
    return Machine(kind, name, zone, cell, is_ready, incarnation=incarnation)


def slots(*stored: StoredSlot, limits: Limits = WIDE_LIMITS, last_zone: str = "") -> Slots:
    return Slots(stored, SlotLedger(last_zone=last_zone), 5, limits, 6)


FLEET = Fleet(tuple(machine(f"n{number}", "a" if number < 4 else "b") for number in range(1, 7)))


@pytest.mark.parametrize(
    ("stored", "order"),
    [
        (slots(slot(2), slot(1)), ["t1", "t2"]),  # by number
        (slots(slot(1), slot(2, urgent=True)), ["t2", "t1"]),  # urgent slots first
        (slots(slot(1), slot(4, zone="b"), last_zone="a"), ["t4", "t1"]),  # no two slots of one zone in a row
        (slots(slot(1), slot(2), last_zone="a"), ["t1", "t2"]),  # unless only one zone waits
        (slots(slot(1), slot(4, zone="b"), last_zone="b"), ["t1", "t4"]),
        # Urgency precedes zones.
        (
            slots(slot(1, urgent=True), slot(4, zone="b"), last_zone="a"),
            ["t1", "t4"],
        ),
        (slots(slot(1, phase=Phase.OUT), slot(2)), ["t2"]),  # a slot that has begun is not queued
    ],
)
def test_order_of_waiting_slots(stored: Slots, order: list[str]) -> None:
    assert [waiting.slot.id for waiting in queue(stored)] == order


FLEET_LIMIT, ZONE_LIMIT, CELL_LIMIT = (
    Limits(out=1, floor=0),
    Limits(out=9, out_zone=1, floor=0),
    Limits(out=9, out_zone=9, floor=0),
)
ONE_AWAY = Fleet((machine("n1"), machine("n2", is_ready=False), machine("n4", "b")))
CELLS = Fleet(
    (machine("s-1", cell="c1"), machine("s-2", cell="c1", is_ready=False), machine("s-3", cell="c2"))
)


@pytest.mark.parametrize(
    ("stored", "fleet", "reasons"),
    [
        # One grant at a time, whatever the limits.
        (
            slots(slot(1), slot(2)),
            FLEET,
            [None, WaitReason.BEHIND],
        ),
        # Counts machines that are out for any reason.
        (
            slots(slot(1), limits=FLEET_LIMIT),
            ONE_AWAY,
            [WaitReason.ALL],
        ),
        (slots(slot(1), slot(2, phase=Phase.RETURNING), limits=FLEET_LIMIT), FLEET, [WaitReason.ALL]),
        (slots(slot(1), slot(2, phase=Phase.DONE), limits=FLEET_LIMIT), FLEET, [None]),
        (slots(slot(1), limits=ZONE_LIMIT), ONE_AWAY, [WaitReason.ZONE]),
        # Other zones are not blocked.
        (
            slots(slot(1), slot(4, zone="b"), limits=ZONE_LIMIT),
            ONE_AWAY,
            [WaitReason.ZONE, None],
        ),
        (
            slots(slot(1, urgent=True), slot(4, zone="b"), limits=ZONE_LIMIT),
            ONE_AWAY,
            [WaitReason.ZONE, WaitReason.BEHIND],
        ),
        (
            slots(slot(1, "s-1", kind=MachineKind.SERVER, cell="c1"), limits=CELL_LIMIT),
            CELLS,
            [WaitReason.CELL],
        ),
        (slots(slot(1, "s-3", kind=MachineKind.SERVER, cell="c2"), limits=CELL_LIMIT), CELLS, [None]),
        (slots(slot(1), limits=Limits(out=9, out_zone=9, floor=0.5)), ONE_AWAY, [WaitReason.FLOOR]),
        (slots(slot(1), limits=Limits(out=9, out_zone=9, floor=0.33)), ONE_AWAY, [None]),
        (slots(slot(1)), Fleet(FLEET.machines, zones_with_outage=frozenset({"a"})), [WaitReason.ZONE_OUTAGE]),
        # An outage of another zone blocks as well.
        (
            slots(slot(1)),
            Fleet(FLEET.machines, zones_with_outage=frozenset({"b"})),
            [WaitReason.ZONE_OUTAGE],
        ),
        (slots(slot(1)), Fleet(FLEET.machines, has_recent_halt=True), [WaitReason.HALTED]),
        (slots(slot(1)), Fleet(FLEET.machines, is_fresh=False), [WaitReason.STALE]),
        (slots(slot(9), slot(1)), FLEET, [None, WaitReason.UNKNOWN]),  # an unknown machine blocks no other
        (slots(slot(2), slot(1, zone="b")), ONE_AWAY, [None, WaitReason.AWAY]),
    ],
)
def test_reason_for_which_each_slot_waits(
    stored: Slots, fleet: Fleet, reasons: list[WaitReason | None]
) -> None:
    assert [reason for _, reason in wait_reasons(stored, fleet)] == reasons


def test_an_unreadable_record_blocks_every_grant() -> None:
    stored = records.read_slots(Snapshot(1, 9, (Entry("turns/t1", b"{}", 1, 1),)))
    assert stored.unreadable == ("turns/t1",)
    with pytest.raises(MaintenanceError, match="turns/t1"):
        records.request_slots(stored, [slot(1).slot])
    valid = records.encode(slot(1).slot)
    stored = records.read_slots(Snapshot(1, 9, (Entry("turns/t1", valid, 1, 1), Entry("turns/x", b"", 2, 2))))
    assert [reason for _, reason in wait_reasons(stored, FLEET)] == [WaitReason.UNREADABLE]


def step_of(
    stored: StoredSlot,
    machine: Machine | None,
    waited_ms: float = 0.0,
    local: LocalSoftswitch | None = None,
    limits: Limits = WIDE_LIMITS,
) -> Step | None:
    fleet = Fleet((machine,) if machine is not None else ())
    local = local or LocalSoftswitch("n9", 1)
    return steps.next_step(
        slots(stored, limits=limits), fleet, local, {(stored.slot.id, stored.mod_revision): -waited_ms}, 0.0
    )


OWNER, MINE = LocalSoftswitch("n1", 1), {"grant": 1}
READY, AWAY, RESTARTED = machine("n1"), machine("n1", is_ready=False), machine("n1", incarnation=2)


@pytest.mark.parametrize(
    ("phase", "machine", "waited_ms", "local", "to"),
    [
        (Phase.GRANTED, READY, 0, OWNER, Phase.DRAINING),
        (Phase.GRANTED, READY, 999, LocalSoftswitch("n9", 1), None),
        (Phase.GRANTED, READY, 1_001, LocalSoftswitch("n9", 1), Phase.WAITING),
        (Phase.GRANTED, READY, 0, LocalSoftswitch("n1", 2), None),  # granted to another incarnation
        (Phase.GRANTED, AWAY, 0, LocalSoftswitch("n9", 1), Phase.OUT),
        (Phase.GRANTED, RESTARTED, 0, LocalSoftswitch("n9", 1), Phase.OUT),
        (Phase.GRANTED, None, 0, LocalSoftswitch("n9", 1), Phase.OUT),
        (Phase.DRAINING, READY, 0, OWNER, None),
        (Phase.DRAINING, READY, 0, LocalSoftswitch("n1", 1, is_idle=True), Phase.OUT),
        # Another softswitch is idle.
        (
            Phase.DRAINING,
            READY,
            0,
            LocalSoftswitch("n9", 1, is_idle=True),
            None,
        ),
        (Phase.DRAINING, READY, 2_001, LocalSoftswitch("n9", 1), Phase.OUT),
        (Phase.DRAINING, AWAY, 0, LocalSoftswitch("n9", 1), Phase.OUT),
        (Phase.OUT, READY, 9e9, OWNER, None),  # maintenance has no time limit
        (Phase.OUT, AWAY, 9e9, LocalSoftswitch("n9", 1), None),
        (Phase.OUT, RESTARTED, 0, LocalSoftswitch("n9", 1), Phase.RETURNING),
        (Phase.RETURNING, READY, 2_999, OWNER, None),
        (Phase.RETURNING, READY, 3_001, OWNER, Phase.DONE),
        (Phase.RETURNING, AWAY, 0, LocalSoftswitch("n9", 1), Phase.OUT),
        (Phase.DONE, READY, DONE_RETENTION_MS - 1, OWNER, None),
    ],
)
def test_steps_of_a_slot(
    phase: Phase, machine: Machine | None, waited_ms: float, local: LocalSoftswitch, to: Phase | None
) -> None:
    step = step_of(slot(1, phase=phase, grant=1), machine, waited_ms, local)
    assert (step.to if step else None) is to


def test_a_machine_that_was_suspended_in_its_slot_returns_in_the_same_incarnation() -> None:
    step = step_of(slot(1, phase=Phase.OUT, grant=1, note="died on its turn"), READY)
    assert step is not None and step.to is Phase.RETURNING


def test_no_step_is_tried_with_an_uncertain_lease_or_an_old_snapshot() -> None:
    stored, seen = slot(1), {("t1", 11): 0.0}
    assert steps.next_step(slots(stored), FLEET, LocalSoftswitch("n1", 1, may_act=False), seen, 0.0) is None
    assert steps.next_step(slots(stored), Fleet(FLEET.machines, is_fresh=False), OWNER, seen, 0.0) is None


def test_a_finished_slot_is_deleted_after_its_retention() -> None:
    step = step_of(slot(1, phase=Phase.DONE, grant=1), READY, DONE_RETENTION_MS + 1)
    assert step is not None and step.to is None and step.transaction.writes[0].value is None


@pytest.mark.parametrize("phase", list(Phase))
def test_operators_requests_in_each_phase(phase: Phase) -> None:
    stored = slots(slot(1, phase=phase))
    if phase is Phase.OUT:
        assert steps.mark_returned(stored, "t1").to is Phase.RETURNING
    else:
        with pytest.raises(MaintenanceError):
            steps.mark_returned(stored, "t1")
    if phase in (Phase.OUT, Phase.RETURNING):
        with pytest.raises(MaintenanceError):
            steps.cancel(stored, "t1")
    else:
        has_begun = phase in (Phase.GRANTED, Phase.DRAINING)
        assert steps.cancel(stored, "t1").to is (Phase.RETURNING if has_begun else None)


def test_a_machine_has_one_slot_and_the_queue_is_bounded() -> None:
    with pytest.raises(MaintenanceError, match="has turn t1 already"):
        records.request_slots(slots(slot(1)), [slot(2, "n1").slot])
    with pytest.raises(MaintenanceError, match="twice"):
        records.request_slots(slots(), [slot(1, "n1").slot, slot(2, "n1").slot])
    with pytest.raises(MaintenanceError, match="full"):
        records.request_slots(
            slots(*(slot(number) for number in range(records.MAX_SLOTS))), [slot(9999).slot]
        )


def test_limits_of_a_higher_edition_are_adopted() -> None:
    stored = slots(limits=Limits(edition=3))
    assert records.adopt_limits(stored, Limits(edition=3)) is None
    assert records.adopt_limits(stored, Limits(edition=4)) is not None
    assert records.adopt_limits(Slots(), Limits()) is not None


@given(
    st.lists(st.tuples(st.booleans(), st.sampled_from("abc")), max_size=12), st.sampled_from(["", "a", "b"])
)
def test_the_order_is_the_same_for_all_and_complete(requests: list[tuple[bool, str]], last_zone: str) -> None:
    waiting = [slot(number, zone=zone, urgent=urgent) for number, (urgent, zone) in enumerate(requests)]
    forward, backward = (
        slots(*waiting, last_zone=last_zone),
        slots(*reversed(waiting), last_zone=last_zone),
    )
    assert queue(forward) == queue(backward)
    assert sorted(stored.mod_revision for stored in queue(forward)) == sorted(
        stored.mod_revision for stored in waiting
    )


@given(st.integers(1, 40), st.text("0123456789abcdef", min_size=8, max_size=8))
def test_softswitches_try_a_step_one_after_another(count: int, step: str) -> None:
    live_names = [f"n{number}" for number in range(count)]
    delays_ms = sorted(timing.contention_delay_ms(step, name, live_names) for name in live_names)
    assert delays_ms[0] == 0.0 and delays_ms[-1] <= timing.MAX_CONTENTION_DELAY_MS
    assert len(set(delays_ms)) == min(count, 15), "distinct delays, up to the longest"
    assert timing.contention_delay_ms(step, "stranger", live_names) == timing.MAX_CONTENTION_DELAY_MS
