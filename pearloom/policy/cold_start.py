"""Budget for set-ups to a cold pool: each softswitch keeps to its part of what the fleet may send it."""

from pearloom.policy.state import Pool, State

COLD_SAFETY = 0.75  # of the cold budget: room for chance, for resends and for less informed softswitches
COLD_RAMP = 0.7  # part of a linear rise from cold share to warm that is counted on; the real rise is unknown


def has_headroom(state: State, pool: Pool) -> bool:
    """Whether one more set-up keeps the pool's budget over every window of `fall_us` while it may be cold.

    It is this softswitch's part of the load on all pools: if each keeps to its part, the fleet keeps the
    limit. Parts below one are rounded at random, so that hundreds send the sum of their parts."""
    window = state.settings.fall_us
    while pool.sends and pool.sends[0] <= state.now - window:
        pool.sends.popleft()
    if state.now >= pool.cold_until:
        return True
    warmed = 1 - (pool.cold_until - state.now) / state.settings.warm_after_us
    share = state.settings.cold_share + COLD_RAMP * (1 - state.settings.cold_share) * max(warmed, 0.0)
    lines = state.min_pool_lines if pool.lines == 1 else pool.lines  # a new pool's size is reported late
    budget = COLD_SAFETY * state.settings.fall_multiple * share * state.warm_rate * lines * window / 1e6
    return len(pool.sends) < int(budget + pool.budget_rounding)
