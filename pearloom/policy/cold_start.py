"""The budget of a cold pool: each softswitch keeps to its own part of what the settings let all send it."""

from pearloom.policy.state import Pool, State

COLD_SAFETY = 0.75  # x the cold budget: room for chance, for resends and for proxies that know less
COLD_RAMP = 0.7  # x a straight rise from cold share to warm that is counted on


def has_headroom(state: State, pool: Pool) -> bool:
    """A budget over every window of the stated length while the pool may be cold.

    Own part of the fleet's push: own rate a line over all pools. If each keeps to its own, all keep it.
    Guards also against rounding up: of a part below one, each proxy's own drawn turn decides whether it
    is one of those that send, so that hundreds who see one list at once send the sum of their budgets."""
    window = state.settings.fall_us
    while pool.sends and pool.sends[0] <= state.now - window:
        pool.sends.popleft()
    if state.now >= pool.cold_until:
        return True
    # The ramp is not told; only a part of a straight one is counted on.
    warmed = 1 - (pool.cold_until - state.now) / state.settings.warm_after_us
    share = state.settings.cold_share + COLD_RAMP * (1 - state.settings.cold_share) * max(warmed, 0.0)
    lines = state.least_lines if pool.lines == 1 else pool.lines  # a new pool's size is told late
    budget = COLD_SAFETY * state.settings.fall_multiple * share * state.warm_rate * lines * window / 1e6
    return len(pool.sends) < int(budget + pool.budget_rounding)
