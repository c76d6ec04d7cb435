"""Each cell of the two tables: whose turn is next and why others wait; and the life of a turn."""

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

WIDE = Limits(out=9, out_zone=9, out_cell=9, floor=0.0, take_up_ms=1_000, drain_ms=2_000, settle_ms=3_000)


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
    found = Slot(FORMAT, f"t{number}", kind, name, zone, cell, urgent, "n1", "", number, phase, grant, note)
    return StoredSlot(found, 10 + number, records.encode(found))


def machine(name: str, zone: str = "a", ready: bool = True, life: int = 1, cell: str = "") -> Machine:
    kind = MachineKind.SERVER if name.startswith("s-") else MachineKind.SOFTSWITCH
    return Machine(kind, name, zone, cell, ready, incarnation=life)


def slots(*held: StoredSlot, limits: Limits = WIDE, last_zone: str = "") -> Slots:
    return Slots(held, SlotLedger(last_zone=last_zone), 5, limits, 6)


FLEET = Fleet(tuple(machine(f"n{at}", "a" if at < 4 else "b") for at in range(1, 7)))


@pytest.mark.parametrize(
    ("there", "order"),
    [
        (slots(slot(2), slot(1)), ["t1", "t2"]),  # by age
        (slots(slot(1), slot(2, urgent=True)), ["t2", "t1"]),  # urgent first
        (slots(slot(1), slot(4, zone="b"), last_zone="a"), ["t4", "t1"]),  # never two of a zone in a row
        (slots(slot(1), slot(2), last_zone="a"), ["t1", "t2"]),  # unless no other waits
        (slots(slot(1), slot(4, zone="b"), last_zone="b"), ["t1", "t4"]),
        (slots(slot(1, urgent=True), slot(4, zone="b"), last_zone="a"), ["t1", "t4"]),  # urgency before zones
        (slots(slot(1, phase=Phase.OUT), slot(2)), ["t2"]),  # one that has begun is in no queue
    ],
)
def test_the_order_of_those_that_wait(there: Slots, order: list[str]) -> None:
    assert [held.slot.id for held in queue(there)] == order


ALL, ZONE, CELL = (
    Limits(out=1, floor=0),
    Limits(out=9, out_zone=1, floor=0),
    Limits(out=9, out_zone=9, floor=0),
)
GONE = Fleet((machine("n1"), machine("n2", ready=False), machine("n4", "b")))
CELLS = Fleet((machine("s-1", cell="c1"), machine("s-2", cell="c1", ready=False), machine("s-3", cell="c2")))


@pytest.mark.parametrize(
    ("there", "fleet", "reasons"),
    [
        (slots(slot(1), slot(2)), FLEET, [None, WaitReason.BEHIND]),  # one at a time, whatever the limits
        (slots(slot(1), limits=ALL), GONE, [WaitReason.ALL]),  # out for whatever reason
        (slots(slot(1), slot(2, phase=Phase.RETURNING), limits=ALL), FLEET, [WaitReason.ALL]),
        (slots(slot(1), slot(2, phase=Phase.DONE), limits=ALL), FLEET, [None]),
        (slots(slot(1), limits=ZONE), GONE, [WaitReason.ZONE]),
        (slots(slot(1), slot(4, zone="b"), limits=ZONE), GONE, [WaitReason.ZONE, None]),  # other zones go on
        (
            slots(slot(1, urgent=True), slot(4, zone="b"), limits=ZONE),
            GONE,
            [WaitReason.ZONE, WaitReason.BEHIND],
        ),
        (slots(slot(1, "s-1", kind=MachineKind.SERVER, cell="c1"), limits=CELL), CELLS, [WaitReason.CELL]),
        (slots(slot(1, "s-3", kind=MachineKind.SERVER, cell="c2"), limits=CELL), CELLS, [None]),
        (slots(slot(1), limits=Limits(out=9, out_zone=9, floor=0.5)), GONE, [WaitReason.FLOOR]),
        (slots(slot(1), limits=Limits(out=9, out_zone=9, floor=0.33)), GONE, [None]),
        (slots(slot(1)), Fleet(FLEET.machines, zones_with_outage=frozenset({"a"})), [WaitReason.ZONE_OUTAGE]),
        (
            slots(slot(1)),
            Fleet(FLEET.machines, zones_with_outage=frozenset({"b"})),
            [WaitReason.ZONE_OUTAGE],
        ),  # another one's
        (slots(slot(1)), Fleet(FLEET.machines, has_recent_halt=True), [WaitReason.HALTED]),
        (slots(slot(1)), Fleet(FLEET.machines, is_fresh=False), [WaitReason.STALE]),
        (slots(slot(9), slot(1)), FLEET, [None, WaitReason.UNKNOWN]),  # one that nobody knows holds up nobody
        (slots(slot(2), slot(1, zone="b")), GONE, [None, WaitReason.AWAY]),
    ],
)
def test_what_each_waits_for(there: Slots, fleet: Fleet, reasons: list[WaitReason | None]) -> None:
    assert [reason for _, reason in wait_reasons(there, fleet)] == reasons


def test_what_can_t_be_read_stops_every_grant() -> None:
    there = records.read_slots(Snapshot(1, 9, (Entry("turns/t1", b"{}", 1, 1),)))
    assert there.unreadable == ("turns/t1",)
    with pytest.raises(MaintenanceError, match="turns/t1"):
        records.request_slots(there, [slot(1).slot])
    good = records.encode(slot(1).slot)
    there = records.read_slots(Snapshot(1, 9, (Entry("turns/t1", good, 1, 1), Entry("turns/x", b"", 2, 2))))
    assert [reason for _, reason in wait_reasons(there, FLEET)] == [WaitReason.UNREADABLE]


def stepped(
    held: StoredSlot,
    there: Machine | None,
    waited_ms: float = 0.0,
    own: LocalSoftswitch | None = None,
    limits: Limits = WIDE,
) -> Step | None:
    fleet = Fleet((there,) if there is not None else ())
    own = own or LocalSoftswitch("n9", 1)
    return steps.next_step(
        slots(held, limits=limits), fleet, own, {(held.slot.id, held.mod_revision): -waited_ms}, 0.0
    )


ME, MINE = LocalSoftswitch("n1", 1), {"grant": 1}
LIVE, DEAD, REBORN = machine("n1"), machine("n1", ready=False), machine("n1", life=2)


@pytest.mark.parametrize(
    ("phase", "there", "waited_ms", "own", "to"),
    [
        (Phase.GRANTED, LIVE, 0, ME, Phase.DRAINING),
        (Phase.GRANTED, LIVE, 999, LocalSoftswitch("n9", 1), None),
        (Phase.GRANTED, LIVE, 1_001, LocalSoftswitch("n9", 1), Phase.WAITING),
        (Phase.GRANTED, LIVE, 0, LocalSoftswitch("n1", 2), None),  # this life has no grant
        (Phase.GRANTED, DEAD, 0, LocalSoftswitch("n9", 1), Phase.OUT),
        (Phase.GRANTED, REBORN, 0, LocalSoftswitch("n9", 1), Phase.OUT),
        (Phase.GRANTED, None, 0, LocalSoftswitch("n9", 1), Phase.OUT),
        (Phase.DRAINING, LIVE, 0, ME, None),
        (Phase.DRAINING, LIVE, 0, LocalSoftswitch("n1", 1, is_idle=True), Phase.OUT),
        (
            Phase.DRAINING,
            LIVE,
            0,
            LocalSoftswitch("n9", 1, is_idle=True),
            None,
        ),  # another one's idleness is not its own
        (Phase.DRAINING, LIVE, 2_001, LocalSoftswitch("n9", 1), Phase.OUT),
        (Phase.DRAINING, DEAD, 0, LocalSoftswitch("n9", 1), Phase.OUT),
        (Phase.OUT, LIVE, 9e9, ME, None),  # no time ends work
        (Phase.OUT, DEAD, 9e9, LocalSoftswitch("n9", 1), None),
        (Phase.OUT, REBORN, 0, LocalSoftswitch("n9", 1), Phase.RETURNING),
        (Phase.RETURNING, LIVE, 2_999, ME, None),
        (Phase.RETURNING, LIVE, 3_001, ME, Phase.DONE),
        (Phase.RETURNING, DEAD, 0, LocalSoftswitch("n9", 1), Phase.OUT),
        (Phase.DONE, LIVE, DONE_RETENTION_MS - 1, ME, None),
    ],
)
def test_the_life_of_a_turn(
    phase: Phase, there: Machine | None, waited_ms: float, own: LocalSoftswitch, to: Phase | None
) -> None:
    step = stepped(slot(1, phase=phase, grant=1), there, waited_ms, own)
    assert (step.to if step else None) is to


def test_one_that_died_on_its_turn_and_woke_in_the_same_life_returns() -> None:
    step = stepped(slot(1, phase=Phase.OUT, grant=1, note="died on its turn"), LIVE)
    assert step is not None and step.to is Phase.RETURNING


def test_nothing_is_tried_on_a_lease_that_may_have_ended_or_an_old_picture() -> None:
    held, seen = slot(1), {("t1", 11): 0.0}
    assert steps.next_step(slots(held), FLEET, LocalSoftswitch("n1", 1, may_act=False), seen, 0.0) is None
    assert steps.next_step(slots(held), Fleet(FLEET.machines, is_fresh=False), ME, seen, 0.0) is None


def test_a_turn_that_is_done_is_forgotten_after_a_while() -> None:
    step = stepped(slot(1, phase=Phase.DONE, grant=1), LIVE, DONE_RETENTION_MS + 1)
    assert step is not None and step.to is None and step.transaction.writes[0].value is None


@pytest.mark.parametrize("phase", list(Phase))
def test_what_operators_may_say_at_each_phase(phase: Phase) -> None:
    there = slots(slot(1, phase=phase))
    if phase is Phase.OUT:
        assert steps.mark_returned(there, "t1").to is Phase.RETURNING
    else:
        with pytest.raises(MaintenanceError):
            steps.mark_returned(there, "t1")
    if phase in (Phase.OUT, Phase.RETURNING):
        with pytest.raises(MaintenanceError):
            steps.cancel(there, "t1")
    else:
        began = phase in (Phase.GRANTED, Phase.DRAINING)
        assert steps.cancel(there, "t1").to is (Phase.RETURNING if began else None)


def test_a_machine_has_one_turn_and_the_queue_has_an_end() -> None:
    with pytest.raises(MaintenanceError, match="has turn t1 already"):
        records.request_slots(slots(slot(1)), [slot(2, "n1").slot])
    with pytest.raises(MaintenanceError, match="twice"):
        records.request_slots(slots(), [slot(1, "n1").slot, slot(2, "n1").slot])
    with pytest.raises(MaintenanceError, match="full"):
        records.request_slots(slots(*(slot(at) for at in range(records.MAX_SLOTS))), [slot(9999).slot])


def test_limits_of_a_higher_edition_hold() -> None:
    there = slots(limits=Limits(edition=3))
    assert records.adopt_limits(there, Limits(edition=3)) is None
    assert records.adopt_limits(there, Limits(edition=4)) is not None
    assert records.adopt_limits(Slots(), Limits()) is not None


@given(
    st.lists(st.tuples(st.booleans(), st.sampled_from("abc")), max_size=12), st.sampled_from(["", "a", "b"])
)
def test_the_order_is_one_for_all_and_leaves_nobody_out(asked: list[tuple[bool, str]], last: str) -> None:
    held = [slot(at, zone=zone, urgent=urgent) for at, (urgent, zone) in enumerate(asked)]
    there, back = slots(*held, last_zone=last), slots(*reversed(held), last_zone=last)
    assert queue(there) == queue(back)
    assert sorted(one.mod_revision for one in queue(there)) == sorted(one.mod_revision for one in held)


@given(st.integers(1, 40), st.text("0123456789abcdef", min_size=8, max_size=8))
def test_softswitches_try_a_step_one_after_another(count: int, name: str) -> None:
    acting = [f"n{at}" for at in range(count)]
    waits_ms = sorted(timing.contention_delay_ms(name, one, acting) for one in acting)
    assert waits_ms[0] == 0.0 and waits_ms[-1] <= timing.MAX_CONTENTION_DELAY_MS
    assert len(set(waits_ms)) == min(count, 15), "in steps, up to the longest"
    assert timing.contention_delay_ms(name, "stranger", acting) == timing.MAX_CONTENTION_DELAY_MS
