"""Failures of servers and fleets, and invalid input: one per test."""

from __future__ import annotations

import pytest

from pearloom import interface as api
from pearloom.policy import Controller, health, lifecycle
from tests.helpers import (
    AIM,
    A,
    B,
    ControllerHost,
    call_timer,
    cancels,
    entry,
    finals,
    sends,
    settings,
    timers,
)

Ending, State = api.Ending, api.PoolState


def test_silent_pool_is_reopened_by_a_single_trial() -> None:
    host = ControllerHost(entry(A, 0), entry(B, 1))
    first = host.call(patience=9_000_000)
    host.call(patience=9_000_000)
    token = call_timer(first).token
    host.handle_event(api.TimerDue(token), int(lifecycle.SILENT_AFTER * AIM))
    assert host.controller._state.pools[A].is_ejected
    host.report_end(1, A, Ending.TIMED_OUT, call_over=True)
    host.report_end(2, A, Ending.TIMED_OUT, call_over=True)
    host.now += 3_000_000
    sent_to = [sends(host.call(first=0)) for _ in range(3)]
    assert sent_to.count([A]) == 1
    host.report_answer(3, A)
    assert sends(host.call(first=0)) == [A]


def test_cut_established_calls_do_not_close_a_live_pool() -> None:
    """Guards against cuts alone limiting all pools to cold budgets for half a minute (incident i37b2a7)."""
    host = ControllerHost(entry(A, 0))
    for number in (1, 2):
        host.call()
        host.report_answer(number, A)
    for number in (1, 2):
        host.report_end(number, A, Ending.RESET, call_over=True)
    assert sends(host.call()) == [A]
    assert not sends(host.call())
    host.now += 40_000
    assert sends(host.report_answer(3, A, 40_000)) == [A]


def test_overtaken_attempt_is_cancelled_and_sent_again() -> None:
    """Guards against a server that never answers a fifth of its set-ups (incident i6862c8)."""
    host = ControllerHost(entry(A, 0))
    host.complete_calls(10, A, 0)
    token = call_timer(host.call()).token
    lost = host.count
    host.now += 10_000
    host.call()
    host.now += 50_000
    host.report_answer(host.count, A)
    actions = host.handle_event(api.TimerDue(token), int(lifecycle.CHECK_INTERVAL * AIM))
    assert cancels(actions) == [api.CancelAttempt(f"c{lost}", 0)]
    after_cancel = host.report_end(lost, A, Ending.CANCELLED)
    assert not sends(after_cancel)
    assert sends(host.handle_event(api.TimerDue(token), 300_000)) == [A]


def test_unreachable_pool_sends_the_call_elsewhere_at_once() -> None:
    host = ControllerHost()
    host.call(first=0)
    assert sends(host.report_end(1, A, Ending.UNREACHABLE)) == [B]
    host.report_answer(1, B, attempt=1)
    assert sends(host.call(first=0)) == [B]


def test_pool_with_consecutive_errors_gets_single_trials() -> None:
    """Guards against a failing server that seems free because its errors come quickly (incident i440a25)."""
    host = ControllerHost()
    for number in (1, 2):
        assert sends(host.call(first=0)) == [A]
        assert sends(host.report_end(number, A, Ending.ERROR)) == [B]
        host.report_answer(number, B, attempt=1)
    assert sends(host.call(first=0)) == [B]
    host.now += round(health.FULL_PAUSE_US * (1 + health.PAUSE_JITTER))
    assert sends(host.call(first=0)) == [A]
    host.report_answer(4, A, 20_000)
    assert sends(host.call(first=0)) == [A]


def test_congested_pool_is_not_refilled_when_its_delay_has_decayed() -> None:
    """Guards against refilling a small server as soon as its slow answer has decayed (incident i6862c8)."""
    host = ControllerHost(entry(A, 0))
    host.call(kind=1)
    host.now += 1_500_000
    host.report_answer(1, A, 1_500_000)
    host.now += 5_000_000
    assert [len(sends(host.call(kind=1))) for _ in range(3)] == [1, 0, 0]
    host.now += 40_000
    assert sends(host.report_answer(2, A, 40_000)) == [A, A]


def test_call_without_any_pool_is_refused_in_time() -> None:
    host = ControllerHost(entry(A, 0, State.GONE))
    actions = host.call(patience=3_000_000)
    assert not sends(actions)
    assert finals(
        host.handle_event(api.TimerDue(call_timer(actions).token), int(lifecycle.HOLD_TIME * AIM))
    ) == [api.Refuse("c1", int(lifecycle.STAY_AWAY * AIM))]


def test_calls_go_to_the_slow_pool_while_the_other_drains() -> None:
    host = ControllerHost()
    host.complete_calls(5, B, 1)
    host.handle_event(api.PoolList(api.ListKind.CHANGES, (entry(A, 0, State.DRAINING),)))
    for _ in range(2):
        host.call(first=0, kind=1)
        host.now += 400_000
        host.report_answer(host.count, B, 400_000)
    assert not sends(host.call(first=0, kind=0))
    assert sends(host.call(first=0, kind=1)) == [B]


def test_restarted_softswitch_does_not_use_its_cold_budget_twice() -> None:
    """After its restart it neither knows what it sent before nor has seen what the pools carry."""
    host = ControllerHost(entry(A, 0, started=99_000_000))
    assert not any(sends(host.call()) for _ in range(5))
    for _ in range(20):
        if sends(host.handle_event(api.PoolList(api.ListKind.CHANGES), 400_000) + host.call()):
            return
    raise AssertionError("the cold server gets no calls")


@pytest.mark.parametrize("fleet", [5, 240])
def test_fleet_keeps_a_cold_server_under_its_limit_in_every_window(fleet: int) -> None:
    """Guards against one set-up per window from each softswitch: too many from 240 (incident i163af5).

    Each softswitch has carried its part of what two warm servers do; one server leaves and the other restarts
    cold, which all learn at the same instant. No answer is late, so no other gate limits the calls."""
    capacity, pools, cold_share, fall_multiple, window_us = 40.0, 2, 0.3, 2.5, 2_000_000
    interval_us = round(fleet / (pools * 0.9 * capacity) * 1e6)
    hosts = []
    for number in range(fleet):
        host = ControllerHost(entry(A, 0), entry(B, 1), fleet_size=fleet)
        host.controller = Controller(settings(fleet_size=fleet), number)
        host.handle_event(api.PoolList(api.ListKind.CACHED, (entry(A, 0), entry(B, 1))))
        host.now += number * interval_us // fleet
        for index in range(16_000_000 // interval_us):
            host.complete_calls(1, (A, B)[index % 2], index % 2, gap=interval_us)
        hosts.append(host)
    listed_at = max(host.now for host in hosts)
    sent = []
    for host in hosts:
        host.now = listed_at
        changes = (entry(A, 0, State.DRAINING), entry(B, 1, started=listed_at))
        host.handle_event(api.PoolList(api.ListKind.CHANGES, changes))
        while host.now < listed_at + 4_000_000:
            for action in host.call(first=1):
                if isinstance(action, api.SendSetUp):
                    sent.append(host.now)
                    host.handle_event(api.CallStands(action.call, 0, action.server, 0))
            host.now += 100_000
    most = max(sum(at - window_us < other <= at for other in sent) for at in sent)
    assert 0.3 * capacity * 2 * cold_share <= most <= fall_multiple * cold_share * capacity * window_us / 1e6


def test_failed_list_keeps_the_old_one_and_subscribes_again() -> None:
    host = ControllerHost(must_ask=True, ask_within_us=4_000_000)
    actions = host.handle_event(api.PoolList(api.ListKind.FAILED))
    assert timers(actions) == [api.SetTimer(1_000_000, 0)]
    assert host.handle_event(api.TimerDue(0), 1_000_000) == [api.Subscribe(True)]
    assert sends(host.call(first=0)) == [A]


def test_invalid_events_name_the_call() -> None:
    host = ControllerHost()
    host.call()
    with pytest.raises(ValueError, match="c1"):
        host.handle_event(api.CallArrived("c1", 0, 0, 1, 0))
    with pytest.raises(ValueError, match="c9"):
        host.report_answer(9, A)
    with pytest.raises(ValueError, match="class 5"):
        host.call(kind=5)
    with pytest.raises(ValueError, match="backwards"):
        host.handle_event(api.CallGone("c1"), -1)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("fleet_size", 0),
        ("release_us", -1),
        ("cold_share", 1.5),
        ("fall_multiple", float("nan")),
        ("classes", ()),
    ],
)
def test_invalid_settings_name_the_field(field: str, value: object) -> None:
    with pytest.raises(ValueError, match=field):
        settings(**{field: value})
