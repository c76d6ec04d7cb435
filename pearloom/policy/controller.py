"""Every decision of one softswitch: events in, actions out; it lists pools and hands on the rest."""

from collections import deque

from pearloom import interface as api
from pearloom.interface import ListKind, PoolState
from pearloom.policy import health, limits
from pearloom.policy.lifecycle import Calls
from pearloom.policy.state import HEADROOM, START_BASE, Pool, State

ASK_AGAIN = 0.25  # x ask-within: pause before a failed subscription is asked for again


class Controller:
    """Decides for one proxy; knows only what its own events told it."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Start knowing nothing but the settings."""
        self._state = State(settings, seed)
        self._calls = Calls(self._state)

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Take one event and return the actions it calls for, in order."""
        state = self._state
        if now_us < state.now:
            raise ValueError(f"time runs backwards: {now_us} after {state.now}")
        state.now, state.actions, state.shut_rank = now_us, [], -1
        if now_us >= state.retune_at:
            limits.retune(state)
            self._calls.forget_unserved()
        match event:
            case api.CallArrived():
                self._calls.arrived(event)
            case api.CallStands():
                self._calls.stands(event)
            case api.AttemptEnded():
                self._calls.ended(event)
            case api.TimerDue(token):
                self._calls.timer(token)
            case api.CallGone(name):
                self._calls.gone(name)
            case api.PoolList():
                self._listed(event)
            case api.PoolReport():
                health.reported(state, event.server, event.report)
        self._calls.release_held()
        return state.actions

    @property
    def ejected_count(self) -> int:
        """How many listed pools get single trials alone: silent, dead, jammed, full or failing."""
        return sum(pool.ejected and pool.state is PoolState.READY for pool in self._state.pools.values())

    @property
    def limits(self) -> dict[str, float]:
        """Set-ups that the gate of each listed pool allows out; 0 for one that gets single trials alone."""
        ready = (pool for pool in self._state.pools.values() if pool.state is PoolState.READY)
        return {pool.server: 0.0 if pool.ejected else pool.limit for pool in ready}

    def _listed(self, event: api.PoolList) -> None:
        state = self._state
        ask = state.settings.must_ask
        if event.kind is ListKind.FAILED:
            if ask:
                state.actions.append(api.SetTimer(int(ASK_AGAIN * state.settings.ask_within_us), 0))
            return
        if event.kind is ListKind.CACHED and ask:
            state.actions.append(api.Subscribe())
        for entry in event.entries:
            pool = state.pools.get(entry.server)
            if pool is None or entry.started_us != pool.started_us:
                out = pool.out if pool else {}
                sends = deque(at for at in pool.sends if at >= entry.started_us) if pool else deque()
                base, started = START_BASE * state.aim, entry.started_us
                pool = Pool(
                    entry.server, entry.cell, entry.state, base, HEADROOM, started, out=out, sends=sends
                )
                # Told again only seconds later: its size is that of the server whose place it takes.
                pool.lines = max((p.lines for p in state.pools.values() if p.cell == entry.cell), default=1.0)
                if entry.started_us > 0:
                    pool.cold_until = entry.started_us + state.settings.warm_after_us
                    pool.budget_rounding = state.random.random()
                    if event.kind is ListKind.CACHED:
                        # Guards against a turn that a proxy had before its restart and now takes again.
                        pool.sends = deque([state.now] * state.settings.max_attempts)
                state.pools[entry.server] = pool
            pool.state, pool.cell = entry.state, entry.cell
        if event.kind is not ListKind.CHANGES:
            named = {entry.server for entry in event.entries}
            for pool in state.pools.values():
                if pool.server not in named:
                    pool.state = PoolState.GONE
        state.sum_lines()
