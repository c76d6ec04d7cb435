"""The decision module's entry point: takes events, returns actions, and keeps the list of pools."""

from collections import deque

from pearloom import interface as api
from pearloom.interface import ListKind, PoolState
from pearloom.policy import health, limits
from pearloom.policy.lifecycle import Calls
from pearloom.policy.state import INITIAL_BASE_DELAY, LIMIT_HEADROOM, Pool, State

RESUBSCRIBE_DELAY = 0.25  # of ask-within: pause before a failed subscription is requested again


class Controller:
    """Decides for one softswitch, from the events that it is given alone."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Start from the settings, without calls and pools; `seed` is that of all random choices."""
        self._state = State(settings, seed)
        self._calls = Calls(self._state)

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Handle one event and return the resulting actions, in order; raise ValueError at an invalid one."""
        state = self._state
        if now_us < state.now:
            raise ValueError(f"time runs backwards: {now_us} after {state.now}")
        state.now, state.actions, state.closed_rank = now_us, [], -1
        if now_us >= state.retune_at:
            limits.retune(state)
            self._calls.forget_unserved()
        match event:
            case api.CallArrived():
                self._calls.on_arrival(event)
            case api.CallStands():
                self._calls.on_answer(event)
            case api.AttemptEnded():
                self._calls.on_attempt_ended(event)
            case api.TimerDue(token):
                self._calls.on_timer(token)
            case api.CallGone(name):
                self._calls.on_caller_gone(name)
            case api.PoolList():
                self._apply_list(event)
            case api.PoolReport():
                health.record_report(state, event.server, event.report)
        self._calls.retry_held()
        return state.actions

    @property
    def ejected_count(self) -> int:
        """Number of listed pools that get single trials only: silent, dead, congested, full or failing."""
        return sum(pool.is_ejected and pool.state is PoolState.READY for pool in self._state.pools.values())

    @property
    def limits(self) -> dict[str, float]:
        """Unanswered set-ups that the gate of each listed pool allows; 0 for one that is ejected."""
        ready = (pool for pool in self._state.pools.values() if pool.state is PoolState.READY)
        return {pool.server: 0.0 if pool.is_ejected else pool.limit for pool in ready}

    def _apply_list(self, event: api.PoolList) -> None:
        state = self._state
        must_ask = state.settings.must_ask
        if event.kind is ListKind.FAILED:
            if must_ask:
                state.actions.append(api.SetTimer(int(RESUBSCRIBE_DELAY * state.settings.ask_within_us), 0))
            return
        if event.kind is ListKind.CACHED and must_ask:
            state.actions.append(api.Subscribe())
        for entry in event.entries:
            pool = state.pools.get(entry.server)
            if pool is None or entry.started_us != pool.started_us:
                out = pool.outstanding if pool else {}
                sends = deque(at for at in pool.sends if at >= entry.started_us) if pool else deque()
                base, started = INITIAL_BASE_DELAY * state.aim, entry.started_us
                pool = Pool(entry.server, entry.cell, entry.state, base, LIMIT_HEADROOM, started,
                            outstanding=out, sends=sends)  # fmt: skip
                # The size is reported only seconds later; until then, that of the server in the same cell.
                pool.lines = max((p.lines for p in state.pools.values() if p.cell == entry.cell), default=1.0)
                if entry.started_us > 0:
                    pool.cold_until = entry.started_us + state.settings.warm_after_us
                    pool.budget_rounding = state.random.random()
                    if event.kind is ListKind.CACHED:
                        # Guards against a softswitch that restarts and uses its cold budget a second time.
                        pool.sends = deque([state.now] * state.settings.max_attempts)
                state.pools[entry.server] = pool
            pool.state, pool.cell = entry.state, entry.cell
        if event.kind is not ListKind.CHANGES:
            listed = {entry.server for entry in event.entries}
            for pool in state.pools.values():
                if pool.server not in listed:
                    pool.state = PoolState.GONE
        state.sum_lines()
