"""The five rules of every decision, at their boundaries to the microsecond."""

from __future__ import annotations

import pytest

from pearloom import interface as api
from pearloom.policy import lifecycle, routes, state
from tests.helpers import AIM, A, B, ControllerHost, call_timer, entry, finals, sends

Ending, State = api.Ending, api.PoolState


def test_one_final_answer_at_the_deadline() -> None:
    host = ControllerHost(entry(A, 0))
    host.call(patience=2_000_000)
    margin = int(lifecycle.ANSWER_MARGIN * 20_000)
    token = 2
    assert not finals(host.handle_event(api.TimerDue(token), 2_000_000 - margin - 1))
    assert finals(host.handle_event(api.TimerDue(token), 1)) == [api.Fail("c1")]
    assert not finals(host.report_end(1, A, Ending.CANCELLED))
    assert not finals(host.handle_event(api.TimerDue(token), 1))


def test_nothing_is_sent_after_the_caller_left() -> None:
    host = ControllerHost()
    host.call()
    host.handle_event(api.CallGone("c1"))
    assert host.report_end(1, A, Ending.FULL, no_line=True) == []
    assert host.handle_event(api.CallGone("c1")) == []


def test_no_second_attempt_while_one_is_outstanding() -> None:
    host = ControllerHost()
    host.call()
    call = host.controller._calls._calls["c1"]
    assert not host.controller._calls._send(call, host.controller._state.pools[B])


def test_attempts_end_at_the_limit() -> None:
    host = ControllerHost(max_attempts=2)
    host.call()
    assert sends(host.report_end(1, A, Ending.UNREACHABLE)) == [B]
    assert finals(host.report_end(1, B, Ending.UNREACHABLE, attempt=1)) == [api.Fail("c1")]


def test_a_call_that_two_servers_fail_is_failed_and_ejects_neither() -> None:
    host = ControllerHost()
    for number in range(1, 6):
        assert sends(host.call(first=0)) == [A]
        assert sends(host.report_end(number, A, Ending.ERROR)) == [B]
        assert finals(host.report_end(number, B, Ending.ERROR, attempt=1)) == [api.Fail(f"c{number}")]


@pytest.mark.parametrize("state", [State.DRAINING, State.GONE])
def test_draining_server_gets_no_further_calls(state: api.PoolState) -> None:
    host = ControllerHost()
    host.handle_event(api.PoolList(api.ListKind.CHANGES, (entry(A, 0, state),)))
    assert sends(host.call(first=0)) == [B]


def test_server_missing_from_a_complete_list_gets_no_calls() -> None:
    host = ControllerHost()
    host.handle_event(api.PoolList(api.ListKind.COMPLETE, (entry(B, 1),)))
    assert sends(host.call(first=0)) == [B]
    host.handle_event(api.PoolList(api.ListKind.CHANGES, (entry(A, 0),)))
    assert sends(host.call(first=0)) == [A]


def test_release_time_is_awaited_to_the_microsecond() -> None:
    host = ControllerHost(entry(A, 0))
    host.call()
    actions = host.report_end(1, A, Ending.TIMED_OUT)
    assert not sends(actions)
    timer = call_timer(actions)
    assert timer.after_us == 300_000
    assert not sends(host.handle_event(api.TimerDue(timer.token), 299_999))
    assert sends(host.handle_event(api.TimerDue(timer.token), 1)) == [A]


def test_call_fails_at_once_where_too_little_patience_is_left_after_the_release() -> None:
    host = ControllerHost(entry(A, 0))
    host.call(patience=1_000_000)
    assert finals(host.report_end(1, A, Ending.TIMED_OUT, after=700_000)) == [api.Fail("c1")]


def test_cold_budget_over_every_window() -> None:
    started = 100_000_000
    host = ControllerHost(entry(A, 0), entry(B, 1, started=started), now=started)
    host.complete_calls(30, A, 0, gap=100_000)
    rate = host.controller._state.warm_rate
    sent_at: list[int] = []
    while host.now < started + 10_000_000:
        host.now += 20_000
        server = sends(host.call(first=1))[0]
        host.report_answer(host.count, server, 20_000)
        if server == B:
            sent_at.append(host.now)
    assert rate > 1 and len(sent_at) > 10
    for at in sent_at:
        in_window = sum(at - 2_000_000 < other <= at for other in sent_at)
        share = 0.3 + 0.7 * (at - started) / 10_000_000
        assert in_window <= max(1.0, 2.5 * share * host.controller._state.warm_rate * 2)
    pool = host.controller._state.pools[B]
    call = state.Call("x", host.controller._state.settings.classes[0], 1, host.now * 2, 1, 999, "", 0)
    pool.sends.clear()
    pool.sends.extend([host.now] * 1_000)
    pool.cold_until = host.now + 3_000_000
    host.controller._state.now = host.now + 2_000_000 - 1
    assert not routes.is_allowed(host.controller._state, call, pool)
    host.controller._state.now += 1
    assert routes.is_allowed(host.controller._state, call, pool)


def test_cold_budget_is_proportional_to_the_size_of_the_server() -> None:
    host = ControllerHost(entry(A, 0), entry(B, 1))
    host.handle_event(api.PoolReport(A, Ending.ENDED, 0, {"free_lines": 500.0, "lines": 500.0}))
    host.handle_event(api.PoolReport(B, Ending.ENDED, 0, {"free_lines": 50.0, "lines": 50.0}))
    host.complete_calls(60, A, 0, gap=100_000)
    counts = []
    for server, cell in ((A, 0), (B, 1)):
        host.now += 100_000
        host.handle_event(api.PoolList(api.ListKind.CHANGES, (entry(server, cell, started=host.now),)))
        host.handle_event(
            api.PoolReport(server, Ending.ENDED, 0, {"free_lines": 400.0, "lines": 500.0 / 10**cell})
        )
        count = 0
        for _ in range(20):
            servers = sends(host.call(first=cell))
            count += servers == [server]
            for sent_to in servers:
                host.report_answer(host.count, sent_to, 20_000)
        counts.append(count)
    assert counts[0] >= 3 and counts[1] <= 1


def test_late_size_report_keeps_the_rate_that_pools_carry() -> None:
    """Guards against one call per window for a new server that answers before it has reported its size."""
    host = ControllerHost(entry(A, 0))
    host.handle_event(api.PoolReport(A, Ending.ENDED, 0, {"free_lines": 500.0, "lines": 500.0}))
    host.complete_calls(60, A, 0, gap=100_000)
    host.handle_event(
        api.PoolList(api.ListKind.CHANGES, (entry(A, 0, State.GONE), entry(B, 1, started=host.now)))
    )
    host.complete_calls(1, B, 1, gap=4_000_000)
    host.handle_event(api.PoolReport(B, Ending.ENDED, 0, {"free_lines": 500.0, "lines": 500.0}))
    for _ in range(3):
        assert sends(host.call(first=1)) == [B]
        host.report_answer(host.count, B, 20_000)


def test_server_restarted_under_the_same_id_is_cold_and_a_warm_one_is_not() -> None:
    host = ControllerHost(entry(A, 0))
    host.complete_calls(20, A, 0)
    assert [len(sends(host.call())) for _ in range(2)] == [1, 1]
    host.report_answer(21, A)
    host.report_answer(22, A)
    host.now += 3_000_000
    host.handle_event(api.PoolList(api.ListKind.CHANGES, (entry(A, 0, started=host.now - 1_000_000),)))
    assert [len(sends(host.call())) for _ in range(2)] == [1, 0]


def test_sends_since_an_unreported_restart_count_against_its_budget() -> None:
    host = ControllerHost(entry(A, 0))
    host.call()
    host.report_answer(1, A)
    host.now += 500_000
    host.handle_event(api.PoolList(api.ListKind.CHANGES, (entry(A, 0, started=host.now - 1_000_000),)))
    assert not sends(host.call())


def test_unrepeatable_call_is_not_sent_twice_nor_refused_once_it_may_have_run() -> None:
    classes = (api.CallClass(AIM, 6_000_000, repeatable=False),)
    host = ControllerHost(classes=classes)
    host.call()
    assert finals(host.report_end(1, A, Ending.ERROR)) == [api.Fail("c1")]
