"""Gates, limits and ranks of the decision module, tested with hand-written events."""

from __future__ import annotations

import pytest

from pearloom import interface as api
from pearloom.policy import health, lifecycle, limits
from tests.helpers import AIM, A, B, ControllerHost, call_timer, entry, finals, sends

Ending, State = api.Ending, api.PoolState


def test_first_choice_gets_the_call_while_its_gate_is_open() -> None:
    host = ControllerHost()
    assert sends(host.call(first=1)) == [B]
    assert sends(host.call(first=0)) == [A]


def test_outstanding_count_closes_the_gate_and_another_pool_is_chosen() -> None:
    host = ControllerHost()
    assert [sends(host.call(first=0)) for _ in range(3)] == [[A], [B], []]
    host.complete_open_calls()
    host.complete_calls(20, A, 0)
    assert [sends(host.call(first=0)) for _ in range(3)] == [[A], [A], [B]]


def test_call_is_held_then_refused_once_while_all_gates_are_closed() -> None:
    host = ControllerHost(entry(A, 0))
    host.call()
    host.call()
    actions = host.call()
    assert not sends(actions) and not finals(actions)
    timer = call_timer(actions)
    assert timer.after_us == int(lifecycle.HOLD_TIME * AIM)
    assert not finals(host.handle_event(api.TimerDue(timer.token), timer.after_us - 1))
    assert finals(host.handle_event(api.TimerDue(timer.token), 1)) == [
        api.Refuse("c3", int(lifecycle.STAY_AWAY * AIM))
    ]
    assert not finals(host.handle_event(api.TimerDue(timer.token), 1))


@pytest.mark.parametrize(("most_us", "wait_us"), [(None, AIM), (250_000, 250_000), (0, 0), (9 * AIM, AIM)])
def test_a_refused_caller_is_asked_to_stay_away_as_the_settings_allow(
    most_us: int | None, wait_us: int
) -> None:
    """Guards against a time to stay away above the bound of the site, or at a site that sends none."""
    host = ControllerHost(entry(A, 0), most_stay_away_us=most_us)
    host.call()
    host.call()
    timer = call_timer(host.call())
    assert finals(host.handle_event(api.TimerDue(timer.token), timer.after_us)) == [api.Refuse("c3", wait_us)]


def test_held_call_of_the_highest_rank_is_sent_first_when_a_gate_opens() -> None:
    host = ControllerHost(entry(A, 0))
    for kind in (0, 0, 0, 1, 1, 1):
        host.call(kind=kind)  # two calls of each class are sent, one of each is held
    host.now += 40_000
    actions = host.report_answer(1, A, 40_000)
    assert [action.call for action in actions if isinstance(action, api.SendSetUp)] == ["c6"]


def test_queuing_delay_closes_the_gate_until_it_has_decayed() -> None:
    host = ControllerHost()
    host.complete_calls(10, A, 0)
    assert sends(host.call(0)) == [A]
    host.now += 700_000
    host.report_answer(host.count, A, 700_000)
    assert sends(host.call(0)) == [B]
    host.now += 2_000_000
    assert sends(host.call(0)) == [A]


def test_oldest_unanswered_set_up_counts_as_delay() -> None:
    host = ControllerHost()
    host.complete_calls(10, A, 0)
    host.call(0)
    host.now += 500_000
    assert sends(host.call(0)) == [B]


def test_an_overtaken_set_up_closes_no_gate() -> None:
    host = ControllerHost()
    host.complete_calls(100, A, first=0, gap=100_000)
    assert sends(host.call()) == [A]
    host.now += 10_000
    assert sends(host.call()) == [A]
    host.now += 50_000
    host.report_answer(host.count, A)
    host.now += 190_000
    assert sends(host.call()) == [A]


def test_a_connection_fault_does_not_affect_its_pool() -> None:
    host = ControllerHost()
    host.complete_calls(30, A, first=0, gap=100_000)
    assert sends(host.call()) == [A]
    host.report_end(host.count, A, api.Ending.RESET, is_connection_fault=True)
    assert sends(host.call()) == sends(host.call()) == [A]


def test_a_server_that_is_gone_is_dropped_once_its_cell_has_another() -> None:
    host = ControllerHost()
    for number in range(50):
        gone, new = f"a:{number}" if number else A, f"a:{number + 1}"
        host.handle_event(api.PoolList(api.ListKind.CHANGES, (entry(gone, 0, State.GONE), entry(new, 0))))
        host.call()
        host.complete_open_calls()
        host.now += 3_000_000
    assert len(host.controller._state.pools) <= 3


def test_processor_full_pauses_the_pool_for_200_ms() -> None:
    host = ControllerHost(entry(A, 0))
    host.call()
    host.report_end(1, A, Ending.FULL, processor_full=True)
    host.now += 199_999
    assert not sends(host.call())
    assert sends(host.handle_event(api.TimerDue(1), 1 + round(health.PAUSE_JITTER * 200_000))) == [A]


def test_pauses_grow_while_the_processor_stays_full() -> None:
    host = ControllerHost(entry(A, 0), max_attempts=1)
    gaps, last = [], host.now
    for _ in range(400):
        host.now += 25_000
        if sends(host.call(patience=9_000_000)):
            gaps.append(host.now - last)
            last = host.now
            host.report_end(host.count, A, Ending.FULL, processor_full=True)
    most = 1 + health.PAUSE_JITTER
    for gap, least in zip(gaps[1:5], (200_000, 400_000, 800_000, 1_600_000), strict=True):
        assert least <= gap <= least * most + 25_000
    assert max(gaps) <= health.MAX_TRIAL_GAP * AIM * most + 25_000


def test_growth_of_the_limit_is_bounded_in_a_surge() -> None:
    host = ControllerHost(entry(A, 0))
    host.complete_calls(20, A, 0)
    host.call()
    before = host.controller._state.pools[A].limit
    for _ in range(500):
        host.call()
    host.handle_event(api.TimerDue(1), limits.RETUNE_US)
    after = host.controller._state.pools[A].limit
    assert before < after <= before * limits.LIMIT_GROWTH


def test_limit_counts_redials_as_offered() -> None:
    host = ControllerHost(entry(A, 0))
    host.controller.handle(host.now, api.CallArrived("r", 0, 0, 3_000_000, 0, redialled=True))
    assert host.controller._state.pools[A].offered == 1


def test_calls_go_elsewhere_without_a_free_line() -> None:
    host = ControllerHost()
    host.handle_event(api.PoolReport(A, Ending.ENDED, 0, {"free_lines": 0.0, "lines": 90.0}))
    assert sends(host.call(first=0)) == [B]
    host.handle_event(api.PoolReport(A, Ending.ENDED, 0, {"free_lines": 50.0, "lines": 90.0}))
    assert sends(host.call(first=0)) == [A]


def test_last_lines_are_reserved_for_the_highest_rank() -> None:
    host = ControllerHost(entry(A, 0))
    host.handle_event(api.PoolReport(A, Ending.ENDED, 0, {"free_lines": 3.0, "lines": 90.0}))
    assert not sends(host.call(kind=0))
    assert sends(host.call(kind=1)) == [A]


def test_a_released_line_is_used_before_the_next_report() -> None:
    host = ControllerHost(entry(A, 0))
    host.call(kind=1)
    host.report_answer(1, A)
    host.handle_event(api.PoolReport(A, Ending.ENDED, 0, {"free_lines": 0.0, "lines": 90.0}))
    actions = host.call(kind=1)
    assert not sends(actions) and not finals(actions)
    assert sends(host.report_end(1, A, Ending.ENDED, call_over=True)) == [A]
    assert not sends(host.call(kind=1))


def test_quick_rejection_without_a_line_does_not_attract_calls() -> None:
    host = ControllerHost()
    host.call(first=0)
    assert sends(host.report_end(1, A, Ending.FULL, no_line=True)) == [B]
    host.report_answer(1, B, attempt=1)
    assert sends(host.call(first=0)) == [B]


def test_unknown_figures_are_ignored() -> None:
    host = ControllerHost()
    host.handle_event(api.PoolReport(A, Ending.ENDED, 0, {"free_lines": -1.0, "wait_ms": -1.0}))
    assert sends(host.call(first=0)) == [A]


def test_calls_above_the_tenants_share_rank_lower() -> None:
    shares = (api.Tenant(0.5), api.Tenant(0.5))
    host = ControllerHost(entry(A, 0), tenants=shares, over_share_worth=0.05)
    ranks = [host.controller._calls._rank(host.controller._state.settings.classes[0], 0) for _ in range(30)]
    assert ranks[0] == 1 and ranks[-2:].count(0) >= 1
    assert host.controller._calls._rank(host.controller._state.settings.classes[0], 1) == 1


def test_late_redial_ranks_behind_first_tries() -> None:
    host = ControllerHost(entry(A, 0, State.GONE), max_attempts=1)

    def rank(number: str, name: str) -> int:
        host.handle_event(api.CallArrived(name, 0, 0, 3_000_000, 0, number=number))
        return host.controller._calls._calls[name].rank

    assert rank("7", "first") == 1
    token = next(iter(host.controller._calls._tokens))
    assert finals(host.handle_event(api.TimerDue(token), int(lifecycle.HOLD_TIME * AIM))) == [
        api.Refuse("first", int(lifecycle.STAY_AWAY * AIM))
    ]
    host.now += AIM
    assert rank("8", "other number") == 1
    assert rank("7", "redial") == 0
    assert rank("7", "another caller") == 1
