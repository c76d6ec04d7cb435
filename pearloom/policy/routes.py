"""Choice of the pool for a call, and the rules that each send must satisfy."""

from pearloom import interface as api
from pearloom.interface import PoolState
from pearloom.policy import cold_start, gate
from pearloom.policy.state import Call, Pool, State


def is_allowed(state: State, call: Call, pool: Pool) -> bool:
    """Whether the call may be sent to this pool now; gates and rate limit are not considered here."""
    if (call.is_decided or call.current_attempt >= 0 or call.attempts >= state.settings.max_attempts
            or call.must_not_repeat):  # fmt: skip
        return False
    if not call.release_at <= state.now < call.deadline or pool.state is not PoolState.READY:
        return False
    if call.call_class.cells and pool.cell not in call.call_class.cells:
        return False
    return (call.route is None or permits(call.route, pool)) and cold_start.has_headroom(state, pool)


def permits(route: api.Route, pool: Pool) -> bool:
    """Whether the call's routing rules permit this pool; they only narrow what is allowed without them."""
    return pool.cell not in route.closed_cells and (
        route.allowed_cells is None or pool.cell in route.allowed_cells)  # fmt: skip


def choose(state: State, call: Call) -> Pool | None:
    """Choose the first choice if its gate is open, else another at random, less likely the longer its delay.

    Calls of rank 2 first look for gates that are open to rank 1, then for those open to rank 2 only."""
    for rank in (1, 2) if call.rank == 2 else (call.rank,):
        open_pools = [pool for pool in state.pools.values() if gate.is_open(state, pool, rank)]
        if not open_pools:
            state.closed_rank = max(state.closed_rank, rank)
        allowed = [pool for pool in open_pools if is_allowed(state, call, pool)]
        allowed = [pool for pool in allowed if gate.is_within_rate(state, pool)] or allowed
        allowed = [pool for pool in allowed if pool.server != call.failed_by] or allowed
        if call.route is not None and allowed:
            # Last, since rules order the pools that the gates have left and never open a gate.
            tiers = [call.route.tiers.get(pool.cell, call.route.default_tier) for pool in allowed]
            allowed = [pool for pool, tier in zip(allowed, tiers, strict=True) if tier == min(tiers)]
        for pool in allowed:
            if pool.cell == call.first_choice:
                return pool
        if allowed:
            weights = [pool.free_lines / (pool.base_delay_us + gate.queuing_delay_us(state, pool))
                       for pool in allowed]  # fmt: skip
            if call.route is not None:
                factors = call.route.weights
                weights = [w * factors.get(p.cell, 1.0) for w, p in zip(weights, allowed, strict=True)]
            return state.random.choices(allowed, weights)[0]
    return None
