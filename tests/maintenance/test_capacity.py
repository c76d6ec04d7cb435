"""Capacities from the gate limits that members publish, and the capacity floor."""

from __future__ import annotations

import msgspec
import pytest

from pearloom.maintenance import records
from pearloom.maintenance.capacity import outstanding_set_ups, with_capacities
from pearloom.maintenance.order import Fleet, Machine, WaitReason, wait_reasons
from pearloom.maintenance.records import Limits, MachineKind, Slot, SlotLedger, Slots, StoredSlot
from pearloom.membership import Condition, Member, MemberFacts
from pearloom.membership.view import MAX_REPORTED_GATES, decode_facts, next_facts

SERVERS = [Machine(MachineKind.SERVER, f"s-{number}", "a") for number in (1, 2, 3)]


def member(name: str, limits: dict[str, float], outstanding: int = 0) -> Member:
    facts = MemberFacts(1, 1, "a", 1, False, limits, outstanding)
    return Member(name, Condition.LIVE, 1, "a", facts, 0.0)


def capacities(machines: list[Machine], members: list[Member]) -> list[float]:
    return [machine.capacity for machine in with_capacities(machines, members)]


def test_a_server_s_capacity_is_the_sum_of_the_gate_limits() -> None:
    members = [member("n1", {"s-1": 4.0, "s-2": 1.0}), member("n2", {"s-1": 2.0, "s-2": 0.0, "s-3": 3.0})]
    assert capacities(SERVERS, members) == [6.0, 1.0, 3.0]
    switches = [Machine(MachineKind.SOFTSWITCH, name, "a") for name in ("n1", "n2")]
    assert capacities(switches, members) == [5.0, 5.0]


def test_a_machine_without_limits_counts_as_the_mean_and_without_any_limits_as_one() -> None:
    assert capacities(SERVERS, [member("n1", {"s-1": 4.0, "s-2": 2.0})]) == [4.0, 2.0, 3.0]
    assert capacities(SERVERS, []) == capacities(SERVERS, [member("n1", {})]) == [1.0, 1.0, 1.0]
    absent = Member("n9", Condition.AWAY, 1, "a", None, 0.0)
    assert outstanding_set_ups([absent, member("n1", {}, 3), member("n2", {}, 4)]) == 7.0


@pytest.mark.parametrize(
    ("limits", "outstanding", "floor", "reason"),
    [
        ({"s-1": 4.0, "s-2": 4.0, "s-3": 4.0}, 0, 0.6, None),
        # The server with most of the capacity.
        (
            {"s-1": 8.0, "s-2": 2.0, "s-3": 2.0},
            0,
            0.6,
            WaitReason.FLOOR,
        ),
        # One is shut already, whatever the cause.
        (
            {"s-1": 4.0, "s-2": 4.0, "s-3": 0.0},
            0,
            0.6,
            WaitReason.FLOOR,
        ),
        # The outstanding set-ups would not fit.
        (
            {"s-1": 4.0, "s-2": 4.0, "s-3": 4.0},
            9,
            0.0,
            WaitReason.FLOOR,
        ),
        ({"s-1": 4.0, "s-2": 4.0, "s-3": 4.0}, 8, 0.0, None),
    ],
)
def test_the_floor_counts_gate_limits_and_outstanding_set_ups(
    limits: dict[str, float], outstanding: int, floor: float, reason: WaitReason | None
) -> None:
    members = [member("n1", limits, outstanding)]
    slot = Slot(1, "t", MachineKind.SERVER, "s-1", "a", "", False, "n1", "", 1)
    slots = Slots(
        (StoredSlot(slot, 5, records.encode(slot)),),
        ledger=SlotLedger(1, 1),
        limits=Limits(out=3, out_zone=3, out_cell=3, floor=floor),
    )
    fleet = Fleet(with_capacities(SERVERS, members), load=outstanding_set_ups(members))
    assert [found for _, found in wait_reasons(slots, fleet)] == [reason]


def test_published_gate_limits_are_bounded_and_validated() -> None:
    facts = next_facts(
        MemberFacts(1, 1, "a", 1),
        {f"s-{number}": number / 3.0 for number in range(2 * MAX_REPORTED_GATES)},
        4,
    )
    assert len(facts.limits) == MAX_REPORTED_GATES and f"s-{2 * MAX_REPORTED_GATES - 1}" in facts.limits
    assert decode_facts(msgspec.json.encode(facts)) == facts
    for invalid in (b'{"s-1":-1.0}', b'{"s-1":1e300}', b'{"s-1":"x"}'):
        value = msgspec.json.encode(MemberFacts(1, 1, "a", 1)).replace(b"{}", invalid)
        assert decode_facts(value) is None
