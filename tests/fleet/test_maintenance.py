"""Maintenance slots over several real softswitch processes and a fake store, with injected faults."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Iterator

import gevent
import pytest

from pearloom.fakes.coordinator import ListedServer
from pearloom.fakes.fleet import Fault, Rig, Step, play, slot_violations
from pearloom.fakes.journal import EntryKind
from pearloom.fakes.script import ServerProfile

TIMES = {"settle_ms": 300, "take_up_ms": 1_500, "drain_ms": 1_500, "floor": 0.3, "out_zone": 1, "out": 1}
Starter = Callable[..., Rig]


@pytest.fixture()
def started() -> Iterator[Starter]:
    rigs: list[Rig] = []

    def start(seed: int, softswitches: int = 3, holds_ms: float = 400.0, **turns: object) -> Rig:
        rig = Rig(
            seed, softswitches, maintenance={**TIMES, **turns}, manner=ServerProfile(mean_hold_ms=holds_ms)
        )
        rigs.append(rig)
        rig.start()
        rig.wait_until(
            lambda: all(f"member={name} condition=live" in rig.nodes["n1"].log() for name in rig.nodes)
        )
        limits = f"limits.out={rig.maintenance['out']}\n"
        rig.wait_until(
            lambda: all(limits in rig.management_call(name, "GET", "/v1/work")[1] for name in rig.nodes), 15.0
        )
        return rig

    yield start
    for rig in rigs:
        rig.close()


def wait_for_completion(rig: Rig, slot: str) -> None:
    rig.wait_until(lambda: rig.phase(slot) in ("done", ""), 10.0, rig.nodes["n2"].log)


def assert_no_violation(rig: Rig, most_out: int = 1) -> None:
    """Assert that no invariant of maintenance slots and no rule of the platform was broken."""
    rig.settle()
    assert slot_violations(rig.gateway.store, most_out) == []
    assert [f"{violation.rule}: {violation.detail}" for violation in rig.report().violations] == []


def test_every_softswitch_withholds_a_server_while_its_calls_go_on(started: Starter) -> None:
    rig = started(11)
    load = gevent.spawn(rig.play, 40.0, 6.0)
    gevent.sleep(1.0)
    (slot,) = rig.request_maintenance("n2", "s-00000001")
    rig.wait_until(lambda: rig.phase(slot) == "out")
    gevent.sleep(0.3)
    before = [
        entry.at_ms
        for entry in rig.journal.entries
        if entry.kind is EntryKind.SET_UP and entry.party == "s-00000001"
    ]
    gevent.sleep(1.0)
    after = [
        entry.at_ms
        for entry in rig.journal.entries
        if entry.kind is EntryKind.SET_UP and entry.party == "s-00000001"
    ]
    assert before == after and before, "no new set-up while the server is out"
    assert rig.management_call("n1", "POST", f"/v1/work/{slot}") == (200, "ok\n")
    rig.wait_until(lambda: rig.phase(slot) == "done")
    load.join()
    last = [
        entry.at_ms
        for entry in rig.journal.entries
        if entry.kind is EntryKind.SET_UP and entry.party == "s-00000001"
    ]
    assert len(last) > len(after), "the server gets set-ups again"
    assert_no_violation(rig)


def test_rolling_maintenance_takes_one_machine_at_a_time(started: Starter) -> None:
    rig = started(12)
    load = gevent.spawn(rig.play, 40.0, 12.0)
    slots = rig.request_maintenance("n1", "n1", "n2", "n3")
    for _ in slots:
        rig.wait_until(lambda: any(rig.phase(slot) == "out" for slot in slots), 8.0, rig.nodes["n1"].log)
        out = next(slot for slot in slots if rig.phase(slot) == "out")
        name = rig.machine(out)
        assert rig.drained(rig.nodes[name])
        rig.kill(name)
        rig.start(name)
        wait_for_completion(rig, out)
    load.join()
    assert slot_violations(rig.gateway.store, 1) == []


def test_a_softswitch_stopped_past_its_lease_is_out_and_does_not_act_on_its_old_grant(
    started: Starter,
) -> None:
    rig = started(13, holds_ms=600_000.0, drain_ms=60_000)
    rig.place("n2", holds_ms=9_000.0)  # an established call: the drain does not end by itself
    rig.wait_until(lambda: any(entry.kind is EntryKind.ESTABLISHED for entry in rig.journal.entries))
    (first,) = rig.request_maintenance("n1", "n2")
    rig.wait_until(lambda: rig.phase(first) == "draining")
    second, *_ = rig.request_maintenance("n3", "n3")
    play(rig, [Step(0.0, Fault.STOP, "n2")])
    rig.wait_until(lambda: rig.phase(first) == "out")
    assert "died on its turn" in rig.management_call("n1", "GET", "/v1/work")[1]
    gevent.sleep(3.0)  # longer than the lease: the others see n2 as away
    assert rig.phase(second) == "waiting", "n2 still counts as out"
    play(rig, [Step(0.0, Fault.WAKE, "n2")])
    rig.wait_until(lambda: not rig.drained(rig.nodes["n2"]), 8.0, rig.nodes["n2"].log)
    rig.wait_until(lambda: rig.phase(second) in ("draining", "out"), 10.0, rig.nodes["n1"].log)
    assert_no_violation(rig)


def test_a_lost_reply_to_the_successful_transaction_grants_once(started: Starter) -> None:
    rig = started(14)
    rig.gateway.faults.lose_replies = 6
    (slot,) = rig.request_maintenance("n1", "s-00000002")
    rig.wait_until(lambda: rig.phase(slot) == "out")
    assert any("event=store_reply_lost" in node.log() for node in rig.nodes.values())
    assert_no_violation(rig)


def test_a_partition_without_the_store_starts_nothing_and_converges_after_healing(started: Starter) -> None:
    rig = started(15, softswitches=4, out=2, out_zone=2)
    play(rig, [Step(0.0, Fault.CUT, "n3"), Step(0.0, Fault.CUT, "n4")])
    load = gevent.spawn(rig.play, 40.0, 5.0)
    gevent.sleep(4.0)
    assert (
        rig.management_call(
            "n3", "POST", "/v1/work", {"machines": [{"kind": "server", "name": "s-00000001"}]}
        )[0]
        == 503
    )
    (slot,) = rig.request_maintenance("n1", "s-00000001")
    # n3 and n4 are away and use up the limits, so nothing starts on the side of the store either.
    gevent.sleep(1.0)
    assert rig.phase(slot) == "waiting"
    assert 'why="as many machines are out as may be"' in rig.management_call("n1", "GET", "/v1/work")[1]
    load.join()
    play(rig, [Step(0.0, Fault.HEAL, "n3"), Step(0.0, Fault.HEAL, "n4")])
    took_s = rig.wait_until(lambda: rig.phase(slot) == "out", 8.0, rig.nodes["n1"].log)
    assert took_s < 8.0
    rig.wait_until(lambda: "s-00000001" in rig.management_call("n3", "GET", "/v1/work")[1])
    assert_no_violation(rig, most_out=2)


def test_a_one_way_partition_counts_as_a_partition(started: Starter) -> None:
    rig = started(16)
    play(rig, [Step(0.0, Fault.CUT_BACK, "n3")])
    rig.wait_until(lambda: "member=n3 condition=away" in rig.nodes["n1"].log(), 8.0)
    assert rig.management_call("n3", "DELETE", "/v1/work/00000000")[0] == 503
    play(rig, [Step(0.0, Fault.HEAL, "n3")])
    rig.wait_until(
        lambda: "member=n3 condition=live" in rig.management_call("n1", "GET", "/v1/members")[1], 12.0
    )


def test_a_stalled_store_delays_no_call_and_ends_no_withholding(started: Starter) -> None:
    rig = started(17)
    (slot,) = rig.request_maintenance("n1", "s-00000003")
    rig.wait_until(lambda: rig.phase(slot) == "out")
    rig.play(40.0, 2.0)
    rig.gateway.faults.paused = True
    stalled_ms = time.time() * 1000.0
    rig.play(40.0, 4.0)
    rig.gateway.faults.paused = False
    rig.settle()
    offered = {entry.call: entry.at_ms for entry in rig.journal.entries if entry.kind is EntryKind.OFFERED}
    delays_ms: tuple[list[float], list[float]] = ([], [])
    for entry in rig.journal.entries:
        if entry.kind is EntryKind.ESTABLISHED:
            delays_ms[offered[entry.call] >= stalled_ms].append(entry.at_ms - offered[entry.call])
    before, during = (sorted(times)[int(0.95 * len(times))] for times in delays_ms)
    assert len(delays_ms[1]) >= 0.98 * sum(at >= stalled_ms for at in offered.values())
    assert during <= before + 150.0, "a request to the store takes 400 ms to time out"
    assert_no_violation(rig)
    set_ups = [
        entry
        for entry in rig.journal.entries
        if entry.kind is EntryKind.SET_UP and entry.party == "s-00000003"
    ]
    assert not [entry for entry in set_ups if entry.at_ms > stalled_ms]


def test_a_store_that_lost_its_last_writes_is_reported_and_nothing_is_done_twice(started: Starter) -> None:
    rig = started(18)
    rig.gateway.store.save()
    (lost,) = rig.request_maintenance("n1", "s-00000001")
    rig.wait_until(lambda: rig.phase(lost) == "out")
    rig.gateway.restart(without_last_writes=True)
    for node in rig.nodes.values():
        rig.wait_until(lambda node=node: "event=store_diverged" in node.log(), 10.0)  # type: ignore[misc]
    assert rig.phase(lost) == ""
    rig.wait_until(lambda: rig.management_call("n2", "GET", "/v1/work")[1].startswith("fresh=true"))
    (again,) = rig.request_maintenance("n2", "s-00000001")
    rig.wait_until(lambda: rig.phase(again) == "out")
    assert_no_violation(rig)


def test_no_slot_is_granted_anywhere_during_the_outage_of_a_zone(started: Starter) -> None:
    rig = started(27, softswitches=5, out=5, out_zone=5, floor=0.0)
    zones = {name: node.zone for name, node in rig.nodes.items()}
    lost = [name for name, zone in zones.items() if zone == zones["n2"]][-2:]
    at = next(name for name in zones if name not in lost)
    for name in lost:
        rig.kill(name)
    rig.wait_until(
        lambda: all(
            f"member={name} condition=away" in rig.management_call(at, "GET", "/v1/members")[1]
            for name in lost
        )
    )
    (slot,) = rig.request_maintenance(at, "s-00000001")
    gevent.sleep(1.0)
    assert rig.phase(slot) == "waiting"
    assert 'why="a zone is in trouble"' in rig.management_call(at, "GET", "/v1/work")[1]
    rig.start(*lost)
    rig.wait_until(lambda: rig.phase(slot) == "out", 15.0, rig.nodes[at].log)
    assert_no_violation(rig, most_out=5)


def test_two_operators_request_the_same_machine_at_once_and_one_gets_it(started: Starter) -> None:
    rig = started(19, out=0)
    body = {"machines": [{"kind": "softswitch", "name": "n3"}]}
    for _ in range(25):
        requests = [
            gevent.spawn(rig.management_call, name, "POST", "/v1/work", body) for name in ("n1", "n2")
        ]
        gevent.joinall(requests, raise_error=True)
        replies = sorted(request.get() for request in requests)
        assert [status for status, _ in replies] == [200, 409], replies
        slot = replies[0][1].split()[0].removeprefix("turn=")
        assert (
            f"has turn {slot} already" in replies[1][1]
        ), "the refused operator gets the slot that the machine has"
        assert rig.management_call("n3", "DELETE", f"/v1/work/{slot}") == (200, "ok\n")
    assert_no_violation(rig, most_out=0)


def test_an_ended_softswitch_counts_as_out_until_it_is_removed_from_the_roster(started: Starter) -> None:
    rig = started(20)
    assert rig.management_call("n1", "DELETE", "/v1/members/n3") == (409, "n3 is live, not away\n")
    rig.nodes["n3"].send(signal.SIGTERM)
    rig.wait_until(lambda: "member=n3 condition=away" in rig.management_call("n1", "GET", "/v1/members")[1])
    (slot,) = rig.request_maintenance("n1", "s-00000001")
    gevent.sleep(1.0)
    assert rig.phase(slot) == "waiting", "a machine that is out for any reason counts against the limit"
    assert rig.management_call("n2", "DELETE", "/v1/members/n9")[0] == 404
    assert rig.management_call("n2", "DELETE", "/v1/members/n3") == (200, "ok\n")
    rig.wait_until(lambda: rig.phase(slot) == "out")
    assert_no_violation(rig)


def test_maintenance_under_load_keeps_the_capacity_floor_when_a_server_dies(started: Starter) -> None:
    rig = started(22, out=3, out_zone=3, floor=0.5)
    load = gevent.spawn(rig.play, 60.0, 7.0)
    first, second = rig.request_maintenance("n1", "s-00000001", "s-00000002")
    rig.wait_until(lambda: rig.phase(first) == "out")
    gevent.sleep(1.0)
    assert rig.phase(second) == "waiting"
    assert 'why="too little capacity would remain"' in rig.management_call("n2", "GET", "/v1/work")[1]
    dead_server = rig.session_servers[2]
    dead_server.die()
    rig.coordinator.announce(ListedServer(dead_server.server, dead_server.address, 2, "draining"))
    assert rig.management_call("n3", "POST", f"/v1/work/{first}") == (200, "ok\n")
    rig.wait_until(lambda: rig.phase(first) == "done")
    gevent.sleep(1.0)
    assert rig.phase(second) == "waiting", "the dead server counts against the floor"
    load.join()
    assert_no_violation(rig)


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("POST", "/v1/work", b"", 400),
        ("POST", "/v1/work", b"{", 400),
        ("POST", "/v1/work", b'{"machines": []}', 400),
        ("POST", "/v1/work", b'{"machines": [{"kind": "tree", "name": "n1"}]}', 400),
        ("POST", "/v1/work", b'{"machines": [{"kind": "server", "name": "s-99999999"}]}', 400),
        ("POST", "/v1/work", b'{"machines": [{"kind": "softswitch", "name": "n1"}], "reason": "a\\nb"}', 400),
        ("POST", "/v1/work", b'{"machines": [{"kind": "softswitch", "name": "n1"}], "soon": true}', 400),
        ("POST", "/v1/work", b"x" * 90_000, 413),
        ("DELETE", "/v1/work/nothing", None, 409),
        ("POST", "/v1/work/nothing", None, 409),
        ("PUT", "/v1/work", b"{}", 405),
        ("GET", "/v1/work/nothing", None, 405),
        ("DELETE", "/v1/work/a/b", None, 404),
    ],
)
def test_invalid_input_is_refused_in_one_line_and_changes_nothing(
    single: Rig, method: str, path: str, body: bytes | None, status: int
) -> None:
    before = single.gateway.store.range(b"/pearloom/turns/", b"/pearloom/turns0")
    got, text = single.management_call("n1", method, path, body)
    assert (got, text.count("\n")) == (status, 1), text
    assert single.gateway.store.range(b"/pearloom/turns/", b"/pearloom/turns0") == before


@pytest.fixture(scope="module")
def single() -> Iterator[Rig]:
    rig = Rig(21, 1, maintenance=TIMES)
    rig.start()
    rig.wait_until(lambda: rig.management_call("n1", "GET", "/v1/work")[0] == 200)
    yield rig
    rig.close()


@pytest.mark.parametrize("value", [b"", b"{}", b"[" * 5000, b'{"format": 99}', b"x" * 100_000, b"\xff\xfe"])
def test_an_unreadable_value_is_reported_and_stops_only_new_slots(single: Rig, value: bytes) -> None:
    single.gateway.store.put(b"/pearloom/turns/bad", value)
    single.gateway.store.put(b"/pearloom/members/bad", value)
    single.gateway._wake()
    single.wait_until(lambda: "unreadable=turns/bad" in single.management_call("n1", "GET", "/v1/work")[1])
    status, text = single.management_call(
        "n1", "POST", "/v1/work", {"machines": [{"kind": "server", "name": "s-00000001"}]}
    )
    assert (status, "can't be read" in text) == (409, True)
    single.gateway.store.delete(b"/pearloom/turns/bad")
    single.gateway.store.delete(b"/pearloom/members/bad")
    single.gateway._wake()
    single.wait_until(lambda: "unreadable" not in single.management_call("n1", "GET", "/v1/work")[1])
