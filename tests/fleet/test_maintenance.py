"""Turns over several real softswitch processes and the stand-in store, with faults between them."""

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

QUICK = {"settle_ms": 300, "take_up_ms": 1_500, "drain_ms": 1_500, "floor": 0.3, "out_zone": 1, "out": 1}
Starter = Callable[..., Rig]


@pytest.fixture()
def started() -> Iterator[Starter]:
    rigs: list[Rig] = []

    def start(seed: int, softswitches: int = 3, holds_ms: float = 400.0, **turns: object) -> Rig:
        rig = Rig(
            seed, softswitches, maintenance={**QUICK, **turns}, manner=ServerProfile(mean_hold_ms=holds_ms)
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


def await_done(rig: Rig, turn: str) -> None:
    rig.wait_until(lambda: rig.phase(turn) in ("done", ""), 10.0, rig.nodes["n2"].log)


def judged(rig: Rig, most_out: int = 1) -> None:
    """No invariant of turns and no rule of the platform is broken."""
    rig.settle()
    assert slot_violations(rig.gateway.store, most_out) == []
    assert [f"{one.rule}: {one.detail}" for one in rig.report().violations] == []


def test_a_server_is_withheld_by_every_softswitch_while_its_calls_go_on(started: Starter) -> None:
    rig = started(11)
    calling = gevent.spawn(rig.play, 40.0, 6.0)
    gevent.sleep(1.0)
    (turn,) = rig.request_maintenance("n2", "s-00000001")
    rig.wait_until(lambda: rig.phase(turn) == "out")
    gevent.sleep(0.3)
    before = [
        one.at_ms for one in rig.journal.entries if one.kind is EntryKind.SET_UP and one.party == "s-00000001"
    ]
    gevent.sleep(1.0)
    after = [
        one.at_ms for one in rig.journal.entries if one.kind is EntryKind.SET_UP and one.party == "s-00000001"
    ]
    assert before == after and before, "no new set-up while it is out"
    assert rig.management_call("n1", "POST", f"/v1/work/{turn}") == (200, "ok\n")
    rig.wait_until(lambda: rig.phase(turn) == "done")
    calling.join()
    last = [
        one.at_ms for one in rig.journal.entries if one.kind is EntryKind.SET_UP and one.party == "s-00000001"
    ]
    assert len(last) > len(after), "it serves again"
    judged(rig)


def test_rolling_work_over_the_fleet_takes_one_machine_at_a_time(started: Starter) -> None:
    rig = started(12)
    calling = gevent.spawn(rig.play, 40.0, 12.0)
    turns = rig.request_maintenance("n1", "n1", "n2", "n3")
    for _ in turns:
        rig.wait_until(lambda: any(rig.phase(turn) == "out" for turn in turns), 8.0, rig.nodes["n1"].log)
        out = next(turn for turn in turns if rig.phase(turn) == "out")
        name = rig.machine(out)
        assert rig.drained(rig.nodes[name])
        rig.kill(name)
        rig.start(name)
        await_done(rig, out)
    calling.join()
    assert slot_violations(rig.gateway.store, 1) == []


def test_one_stopped_past_its_lease_counts_as_out_and_does_no_work_on_the_old_grant(started: Starter) -> None:
    rig = started(13, holds_ms=600_000.0, drain_ms=60_000)
    rig.place("n2", holds_ms=9_000.0)  # a call that stands there: the drain does not end by itself
    rig.wait_until(lambda: any(one.kind is EntryKind.ESTABLISHED for one in rig.journal.entries))
    (first,) = rig.request_maintenance("n1", "n2")
    rig.wait_until(lambda: rig.phase(first) == "draining")
    second, *_ = rig.request_maintenance("n3", "n3")
    play(rig, [Step(0.0, Fault.STOP, "n2")])
    rig.wait_until(lambda: rig.phase(first) == "out")
    assert "died on its turn" in rig.management_call("n1", "GET", "/v1/work")[1]
    gevent.sleep(3.0)  # longer than its lease: the others know it as away
    assert rig.phase(second) == "waiting", "it still counts as out"
    play(rig, [Step(0.0, Fault.WAKE, "n2")])
    rig.wait_until(lambda: not rig.drained(rig.nodes["n2"]), 8.0, rig.nodes["n2"].log)
    rig.wait_until(lambda: rig.phase(second) in ("draining", "out"), 10.0, rig.nodes["n1"].log)
    judged(rig)


def test_a_lost_reply_of_the_winning_transaction_grants_once(started: Starter) -> None:
    rig = started(14)
    rig.gateway.faults.lose_replies = 6
    (turn,) = rig.request_maintenance("n1", "s-00000002")
    rig.wait_until(lambda: rig.phase(turn) == "out")
    assert any("event=store_reply_lost" in node.log() for node in rig.nodes.values())
    judged(rig)


def test_the_side_without_the_store_starts_nothing_and_converges_after_healing(started: Starter) -> None:
    rig = started(15, softswitches=4, out=2, out_zone=2)
    play(rig, [Step(0.0, Fault.CUT, "n3"), Step(0.0, Fault.CUT, "n4")])
    calling = gevent.spawn(rig.play, 40.0, 5.0)
    gevent.sleep(4.0)
    assert (
        rig.management_call(
            "n3", "POST", "/v1/work", {"machines": [{"kind": "server", "name": "s-00000001"}]}
        )[0]
        == 503
    )
    (turn,) = rig.request_maintenance("n1", "s-00000001")
    # n3 and n4 are away and take all the room that the limits give: nothing begins on this side either.
    gevent.sleep(1.0)
    assert rig.phase(turn) == "waiting"
    assert 'why="as many machines are out as may be"' in rig.management_call("n1", "GET", "/v1/work")[1]
    calling.join()
    play(rig, [Step(0.0, Fault.HEAL, "n3"), Step(0.0, Fault.HEAL, "n4")])
    took = rig.wait_until(lambda: rig.phase(turn) == "out", 8.0, rig.nodes["n1"].log)
    assert took < 8.0
    rig.wait_until(lambda: "s-00000001" in rig.management_call("n3", "GET", "/v1/work")[1])
    judged(rig, most_out=2)


def test_a_one_way_cut_is_a_cut(started: Starter) -> None:
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
    (turn,) = rig.request_maintenance("n1", "s-00000003")
    rig.wait_until(lambda: rig.phase(turn) == "out")
    rig.play(40.0, 2.0)
    rig.gateway.faults.paused = True
    stalled_ms = time.time() * 1000.0
    rig.play(40.0, 4.0)
    rig.gateway.faults.paused = False
    rig.settle()
    offered = {one.call: one.at_ms for one in rig.journal.entries if one.kind is EntryKind.OFFERED}
    took: tuple[list[float], list[float]] = ([], [])
    for one in rig.journal.entries:
        if one.kind is EntryKind.ESTABLISHED:
            took[offered[one.call] >= stalled_ms].append(one.at_ms - offered[one.call])
    before, during = (sorted(times)[int(0.95 * len(times))] for times in took)
    assert len(took[1]) >= 0.98 * sum(at >= stalled_ms for at in offered.values())
    assert during <= before + 150.0, "a call of the store takes 400 ms to end"
    judged(rig)
    stalled = [
        one for one in rig.journal.entries if one.kind is EntryKind.SET_UP and one.party == "s-00000003"
    ]
    assert not [one for one in stalled if one.at_ms > stalled_ms]


def test_a_store_that_lost_its_last_writes_is_named_and_nothing_is_done_twice(started: Starter) -> None:
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
    judged(rig)


def test_no_turn_begins_anywhere_while_a_zone_is_in_trouble(started: Starter) -> None:
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
    (turn,) = rig.request_maintenance(at, "s-00000001")
    gevent.sleep(1.0)
    assert rig.phase(turn) == "waiting"
    assert 'why="a zone is in trouble"' in rig.management_call(at, "GET", "/v1/work")[1]
    rig.start(*lost)
    rig.wait_until(lambda: rig.phase(turn) == "out", 15.0, rig.nodes[at].log)
    judged(rig, most_out=5)


def test_two_operators_at_two_softswitches_ask_for_the_same_machine_at_once(started: Starter) -> None:
    rig = started(19, out=0)
    body = {"machines": [{"kind": "softswitch", "name": "n3"}]}
    for _ in range(25):
        asking = [gevent.spawn(rig.management_call, name, "POST", "/v1/work", body) for name in ("n1", "n2")]
        gevent.joinall(asking, raise_error=True)
        said = sorted(one.get() for one in asking)
        assert [status for status, _ in said] == [200, 409], said
        turn = said[0][1].split()[0].removeprefix("turn=")
        assert f"has turn {turn} already" in said[1][1], "the one that lost is told to whom"
        assert rig.management_call("n3", "DELETE", f"/v1/work/{turn}") == (200, "ok\n")
    judged(rig, most_out=0)


def test_one_that_ended_counts_as_out_until_it_is_taken_out_of_the_roster(started: Starter) -> None:
    rig = started(20)
    assert rig.management_call("n1", "DELETE", "/v1/members/n3") == (409, "n3 is live, not away\n")
    rig.nodes["n3"].send(signal.SIGTERM)
    rig.wait_until(lambda: "member=n3 condition=away" in rig.management_call("n1", "GET", "/v1/members")[1])
    (turn,) = rig.request_maintenance("n1", "s-00000001")
    gevent.sleep(1.0)
    assert rig.phase(turn) == "waiting", "a machine that is out for whatever reason takes the room"
    assert rig.management_call("n2", "DELETE", "/v1/members/n9")[0] == 404
    assert rig.management_call("n2", "DELETE", "/v1/members/n3") == (200, "ok\n")
    rig.wait_until(lambda: rig.phase(turn) == "out")
    judged(rig)


def test_work_during_a_burst_in_which_a_server_dies_keeps_the_floor_and_every_rule(started: Starter) -> None:
    rig = started(22, out=3, out_zone=3, floor=0.5)
    calling = gevent.spawn(rig.play, 60.0, 7.0)
    first, second = rig.request_maintenance("n1", "s-00000001", "s-00000002")
    rig.wait_until(lambda: rig.phase(first) == "out")
    gevent.sleep(1.0)
    assert rig.phase(second) == "waiting"
    assert 'why="too little capacity would remain"' in rig.management_call("n2", "GET", "/v1/work")[1]
    dead = rig.session_servers[2]
    dead.die()
    rig.coordinator.announce(ListedServer(dead.server, dead.address, 2, "draining"))
    assert rig.management_call("n3", "POST", f"/v1/work/{first}") == (200, "ok\n")
    rig.wait_until(lambda: rig.phase(first) == "done")
    gevent.sleep(1.0)
    assert rig.phase(second) == "waiting", "the one that died takes the room"
    calling.join()
    judged(rig)


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
def test_bad_input_is_refused_in_one_line_and_changes_nothing(
    one: Rig, method: str, path: str, body: bytes | None, status: int
) -> None:
    before = one.gateway.store.range(b"/pearloom/turns/", b"/pearloom/turns0")
    got, text = one.management_call("n1", method, path, body)
    assert (got, text.count("\n")) == (status, 1), text
    assert one.gateway.store.range(b"/pearloom/turns/", b"/pearloom/turns0") == before


@pytest.fixture(scope="module")
def one() -> Iterator[Rig]:
    rig = Rig(21, 1, maintenance=QUICK)
    rig.start()
    rig.wait_until(lambda: rig.management_call("n1", "GET", "/v1/work")[0] == 200)
    yield rig
    rig.close()


@pytest.mark.parametrize("value", [b"", b"{}", b"[" * 5000, b'{"format": 99}', b"x" * 100_000, b"\xff\xfe"])
def test_a_value_nobody_can_read_is_named_and_stops_new_turns_alone(one: Rig, value: bytes) -> None:
    one.gateway.store.put(b"/pearloom/turns/bad", value)
    one.gateway.store.put(b"/pearloom/members/bad", value)
    one.gateway._wake()
    one.wait_until(lambda: "unreadable=turns/bad" in one.management_call("n1", "GET", "/v1/work")[1])
    status, text = one.management_call(
        "n1", "POST", "/v1/work", {"machines": [{"kind": "server", "name": "s-00000001"}]}
    )
    assert (status, "can't be read" in text) == (409, True)
    one.gateway.store.delete(b"/pearloom/turns/bad")
    one.gateway.store.delete(b"/pearloom/members/bad")
    one.gateway._wake()
    one.wait_until(lambda: "unreadable" not in one.management_call("n1", "GET", "/v1/work")[1])
