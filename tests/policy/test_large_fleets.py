"""Decisions of a softswitch in a large fleet, where it has few calls for each pool."""

from __future__ import annotations

from pearloom import interface as api
from pearloom.policy import gate, health, lifecycle
from tests.helpers import AIM, A, ControllerHost, call_timer, entry, finals, sends

Ending, State = api.Ending, api.PoolState


def _busy() -> ControllerHost:
    """A softswitch of a large fleet with a call every 300 ms for one of ten pools, so one per pool in 3 s."""
    pools = tuple(entry(f"p{number}", number) for number in range(10))
    host = ControllerHost(*pools, fleet_size=280)
    for number in range(10):
        host.handle_event(
            api.PoolReport(f"p{number}", Ending.ENDED, 0, {"free_lines": 1000.0, "lines": 1000.0})
        )
    for number in range(40):
        host.complete_calls(1, f"p{number % 10}", number % 10, gap=300_000)
    return host


def test_pauses_grow_with_the_time_between_local_calls_for_a_pool() -> None:
    """Guards against pauses below the 3 s between local calls: 286 softswitches kept pools full (i5a030c)."""
    host = _busy()
    host.call(first=0)
    host.report_end(host.count, "p0", Ending.FULL, processor_full=True)
    interval = host.controller._state.local_interval_us(host.controller._state.pools["p0"])
    assert 2_000_000 < interval < 4_500_000
    pause = host.controller._state.pools["p0"].trial_at - host.now
    assert (
        health.MIN_TRIAL_INTERVALS * interval
        <= pause
        <= health.MIN_TRIAL_INTERVALS * interval * (1 + health.PAUSE_JITTER)
    )


def test_slow_answer_counts_for_several_call_intervals() -> None:
    host = _busy()
    for _ in range(2):
        assert sends(host.call(first=0)) == ["p0"]
        host.now += 380_000
        host.report_answer(host.count, "p0", 380_000)
    host.now += 1_500_000
    host.call(first=1)
    assert not gate.is_open(host.controller._state, host.controller._state.pools["p0"], 1)


def test_small_pool_takes_calls_in_a_large_fleet() -> None:
    """Guards against reserving one line per softswitch: pools with fewer lines than that got no calls."""
    host = _busy()
    sent_to = []
    for _ in range(6):
        host.handle_event(
            api.PoolReport("p0", Ending.ENDED, 0, {"free_lines": 200.0, "lines": 200.0}), 1_000_000
        )
        sent_to += sends(host.call(first=0))
        host.report_answer(host.count, sent_to[-1], 50_000)
    assert sent_to.count("p0") >= 2


def test_few_free_lines_are_shared_over_the_fleet() -> None:
    """Guards against 280 softswitches that all use the same ten free lines."""
    count, host = 0, _busy()
    for _ in range(60):
        host.handle_event(
            api.PoolReport("p0", Ending.ENDED, 0, {"free_lines": 92.0, "lines": 1000.0}), 300_000
        )
        for server in (servers := sends(host.call(first=0))):
            count += server == "p0"
            host.report_answer(host.count, server, 50_000)
            host.report_end(host.count, server, Ending.ENDED, call_over=True)
        assert len(servers) == 1
    assert 1 <= count <= 25  # (92 - 50 reserved) / 280 of 60 reports is 9


def test_overloaded_first_choice_ranks_behind_pools_below_their_part() -> None:
    host = _busy()
    host.controller._state.overload = 1.0
    is_first_choice = []
    for _ in range(4):
        servers = sends(host.call(first=0))
        is_first_choice.append(servers == ["p0"])
        host.report_answer(host.count, servers[0], 50_000)
    assert is_first_choice.count(True) == 1
    host.controller._state.overload = 0.0
    assert sends(host.call(first=0)) == ["p0"]


def test_refused_calls_do_not_stay_in_the_queue() -> None:
    """Guards against a queue that grows for as long as the gates stay closed."""
    host = ControllerHost(entry(A, 0, State.GONE))
    for _ in range(50):
        actions = host.call()
        assert finals(
            host.handle_event(api.TimerDue(call_timer(actions).token), int(lifecycle.HOLD_TIME * AIM))
        )
    assert sum(len(queue) for queue in host.controller._calls._held) <= 1


def test_a_distant_pool_opens_once_its_base_delay_is_known() -> None:
    # Distant: every answer takes twice the assumed base delay plus the bound, without any queue.
    host = ControllerHost(entry(A, 0))
    delay_us = 2 * int(0.05 * AIM + 0.3 * 400_000)
    for number in range(1, 13):
        assert sends(host.call()), f"call {number} was not sent"
        host.now += delay_us
        host.report_answer(number, A, delay=delay_us)


def test_the_first_retune_uses_the_measured_rate_at_once() -> None:
    host = ControllerHost(entry(A, 0))
    for number in range(1, 31):
        host.now += 70_000
        host.call()
        host.report_answer(number, A, delay=120_000)
    host.now += 70_000  # past the first retune: 14 calls per second of 120 ms each, doubled, and one more
    assert all(sends(host.call()) for _ in range(4)), "the limit is still that of a pool without calls"


def test_the_base_delay_of_a_pool_first_met_congested_falls_quickly() -> None:
    host = ControllerHost(entry(A, 0))
    for number, delay in enumerate([900_000, 20_000, 20_000, 20_000, 20_000, 20_000], 1):
        host.call()
        host.handle_event(api.TimerDue(0), after=2 * AIM)
        host.report_answer(number, A, delay=delay)
    host.call()
    host.report_answer(7, A, delay=400_000)
    assert not sends(host.call()), "an answer 380 ms above the base delay leaves the gate open"
