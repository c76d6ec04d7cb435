"""Route choice, and the rules that each send must keep."""

from pearloom import interface as api
from pearloom.interface import PoolState
from pearloom.policy import cold_start, gate
from pearloom.policy.state import Call, Pool, State


def is_allowed(state: State, call: Call, pool: Pool) -> bool:
    """May this call go to this pool now, by the rules alone?"""
    if (call.answered or call.current_attempt >= 0 or call.attempts >= state.settings.max_attempts
            or call.sealed):  # fmt: skip
        return False
    if not call.release_at <= state.now < call.deadline or pool.state is not PoolState.READY:
        return False
    if call.kind.cells and pool.cell not in call.kind.cells:
        return False
    return (call.route is None or permits(call.route, pool)) and cold_start.has_headroom(state, pool)


def permits(route: api.Route, pool: Pool) -> bool:
    """Do the rules leave the call this pool? They only narrow: what else forbids it still does."""
    return pool.cell not in route.closed_cells and (
        route.allowed_cells is None or pool.cell in route.allowed_cells)  # fmt: skip


def choose(state: State, call: Call) -> Pool | None:
    """First choice while its gate is open, else a draw over the others, lighter the longer their delay.

    The best calls first look where an ordinary call would be let in, then where only they are."""
    for rank in (1, 2) if call.rank == 2 else (call.rank,):
        opened = [pool for pool in state.pools.values() if gate.is_open(state, pool, rank)]
        if not opened:
            state.shut_rank = max(state.shut_rank, rank)
        able = [pool for pool in opened if is_allowed(state, call, pool)]
        able = [pool for pool in able if gate.within_rate(state, pool)] or able
        able = [pool for pool in able if pool.server != call.erred] or able
        if call.route is not None and able:
            # Last: rules order what the gates have left, and never open one.
            tiers = [call.route.tiers.get(pool.cell, call.route.default_tier) for pool in able]
            able = [pool for pool, tier in zip(able, tiers, strict=True) if tier == min(tiers)]
        for pool in able:
            if pool.cell == call.first_choice:
                return pool
        if able:
            weights = [pool.free / (pool.base_us + gate.excess(state, pool)) for pool in able]
            if call.route is not None:
                factors = call.route.weights
                weights = [w * factors.get(p.cell, 1.0) for w, p in zip(weights, able, strict=True)]
            return state.random.choices(able, weights)[0]
    return None
