"""What a softswitch does in a fleet so large that it sees little itself."""

from __future__ import annotations

from pearloom import interface as api
from pearloom.policy import gate, health, lifecycle
from tests.helpers import AIM, A, Proxy, entry, finals, own_timer, sends

Ending, State = api.Ending, api.PoolState


def _busy() -> Proxy:
    """A proxy of a large fleet that has a call for one of ten pools every 300 ms, so one for each in 3 s."""
    pools = tuple(entry(f"p{number}", number) for number in range(10))
    proxy = Proxy(*pools, fleet_size=280)
    for number in range(10):
        proxy.tell(api.PoolReport(f"p{number}", Ending.ENDED, 0, {"free_lines": 1000.0, "lines": 1000.0}))
    for number in range(40):
        proxy.serve(1, f"p{number % 10}", number % 10, gap=300_000)
    return proxy


def test_pauses_go_with_the_time_between_own_calls_for_a_pool() -> None:
    """Incident i5a030c: 286 proxies with pauses below the 3 s between own calls kept jams full."""
    proxy = _busy()
    proxy.call(first=0)
    proxy.ended(proxy.count, "p0", Ending.FULL, processor_full=True)
    turn = proxy.controller._state.own_interval_us(proxy.controller._state.pools["p0"])
    assert 2_000_000 < turn < 4_500_000
    back = proxy.controller._state.pools["p0"].trial_at - proxy.now
    assert health.TRIAL_INTERVALS * turn <= back <= health.TRIAL_INTERVALS * turn * (1 + health.SPREAD)


def test_slow_answer_is_remembered_for_own_turns() -> None:
    proxy = _busy()
    for _ in range(2):
        assert sends(proxy.call(first=0)) == ["p0"]
        proxy.now += 380_000
        proxy.stands(proxy.count, "p0", 380_000)
    proxy.now += 1_500_000
    proxy.call(first=1)
    assert not gate.is_open(proxy.controller._state, proxy.controller._state.pools["p0"], 1)


def test_small_pool_takes_calls_in_a_large_fleet() -> None:
    """Day big-1 of the later advice line: one line a proxy was kept, and pools of fewer lines idled."""
    proxy = _busy()
    went = []
    for _ in range(6):
        proxy.tell(api.PoolReport("p0", Ending.ENDED, 0, {"free_lines": 200.0, "lines": 200.0}), 1_000_000)
        went += sends(proxy.call(first=0))
        proxy.stands(proxy.count, went[-1], 50_000)
    assert went.count("p0") >= 2


def test_few_free_lines_are_shared_out_over_the_fleet() -> None:
    """Ten lines told free drew every proxy of 280 at once; now about as many go as there are lines."""
    went, proxy = 0, _busy()
    for _ in range(60):
        proxy.tell(api.PoolReport("p0", Ending.ENDED, 0, {"free_lines": 92.0, "lines": 1000.0}), 300_000)
        for server in (to := sends(proxy.call(first=0))):
            went += server == "p0"
            proxy.stands(proxy.count, server, 50_000)
            proxy.ended(proxy.count, server, Ending.ENDED, call_over=True)
        assert len(to) == 1
    assert 1 <= went <= 25  # (92 - 50 kept) / 280 of 60 reports is 9


def test_pressed_first_choice_goes_after_pools_that_had_less_than_their_part() -> None:
    proxy = _busy()
    proxy.controller._state.pressed = 1.0
    first = []
    for _ in range(4):
        to = sends(proxy.call(first=0))
        first.append(to == ["p0"])
        proxy.stands(proxy.count, to[0], 50_000)
    assert first.count(True) == 1
    proxy.controller._state.pressed = 0.0
    assert sends(proxy.call(first=0)) == ["p0"]


def test_calls_that_were_refused_do_not_stay_in_line() -> None:
    """Guards against a line that grows for as long as the gates stay shut."""
    proxy = Proxy(entry(A, 0, State.GONE))
    for _ in range(50):
        held = proxy.call()
        assert finals(proxy.tell(api.TimerDue(own_timer(held).token), int(lifecycle.HOLD * AIM)))
    assert sum(len(line) for line in proxy.controller._calls._held) <= 1


def test_a_far_pool_opens_once_its_own_unpressed_delay_is_learnt() -> None:
    # Far: every answer takes twice what is assumed at first plus the bound, with nothing waiting anywhere.
    proxy = Proxy(entry(A, 0))
    far = 2 * int(0.05 * AIM + 0.3 * 400_000)
    for number in range(1, 13):
        assert sends(proxy.call()), f"call {number} was not sent"
        proxy.now += far
        proxy.stands(number, A, delay=far)


def test_the_first_re_tune_takes_what_it_saw_as_the_rate() -> None:
    proxy = Proxy(entry(A, 0))
    for number in range(1, 31):
        proxy.now += 70_000
        proxy.call()
        proxy.stands(number, A, delay=120_000)
    proxy.now += 70_000  # past the first re-tune: 14 calls a second of 120 ms each, doubled, and one more
    assert all(sends(proxy.call()) for _ in range(4)), "the limit still is that of a pool nobody calls"


def test_a_pool_first_met_in_a_jam_is_soon_thought_quick_again() -> None:
    proxy = Proxy(entry(A, 0))
    for number, delay in enumerate([900_000, 20_000, 20_000, 20_000, 20_000, 20_000], 1):
        proxy.call()
        proxy.tell(api.TimerDue(0), after=2 * AIM)
        proxy.stands(number, A, delay=delay)
    proxy.call()
    proxy.stands(7, A, delay=400_000)
    assert not sends(proxy.call()), "an answer 380 ms above the pool's own level leaves the gate open"
