"""Periodic retuning: rates of the last period, and from them the limit of each pool's gate."""

from pearloom.interface import PoolState
from pearloom.policy.state import LIMIT_HEADROOM, State

RETUNE_US = 2_000_000  # period; at a few calls per second a rate needs about this long
LIMIT_FACTOR = 2.0  # times (offered rate x base delay)
LIMIT_GROWTH = 1.25  # factor per period at most: a burst of redials must not raise the limit at once
MIN_RATE = 0.1  # calls per second: without traffic, recovered pools must still be noticed
RATE_GAIN = 0.4  # weight of one period in the rates
WARM_RATE_DECAY = 0.96  # factor per period: without a better one, the best rate seen halves in half a minute
ASSUMED_WARM_RATE = 0.5  # of the local arrivals: what pools are assumed to carry before any was seen to


def retune(state: State) -> None:
    """Update the rates and, from them, the limits, whose growth is bounded; drop pools that were replaced."""
    period = (state.now - state.retune_at + RETUNE_US) / 1e6  # seconds; longer where events are rare
    is_first, state.retune_at = state.retune_at == 0, state.now + RETUNE_US
    if is_first:
        return
    gain = RATE_GAIN if state.local_rate else 1.0
    state.local_rate = max(state.local_rate + gain * (state.arrivals / period - state.local_rate), MIN_RATE)
    state.arrivals = 0
    # Guards against new server ids that fill the memory. A pool's size is needed until its cell has another.
    ready = [p for p in state.pools.values() if p.state is PoolState.READY]
    taken = {p.cell for p in ready}
    retained = [p for p in state.pools.values()
                if p.state is not PoolState.GONE or p.outstanding or p.cell not in taken]  # fmt: skip
    state.pools = {p.server: p for p in retained}
    for pool in state.pools.values():
        # Guards against a limit that reaches its former value only ten seconds after a start or an upgrade,
        # while other gates are closed. Harm: a burst of redials in a first period raises the limit at once.
        is_new = not pool.offered_rate
        pool.offered_rate += (1.0 if is_new else RATE_GAIN) * (pool.offered / period - pool.offered_rate)
        pool.established_rate += RATE_GAIN * (pool.established / period - pool.established_rate)
        pool.offered = pool.established = 0
        wanted = LIMIT_FACTOR * pool.offered_rate * pool.base_delay_us / 1e6 + LIMIT_HEADROOM
        pool.limit = wanted if is_new else min(wanted, pool.limit * LIMIT_GROWTH)
    # Over all pools: a softswitch of a large fleet has a call at one pool every few seconds, and the best of
    # ten such counts is chance. What a pool carries while cold it also carries when warm.
    sized = [p for p in ready if p.lines > 1 or not state.are_sizes_known]
    lines = max(sum(p.lines for p in sized), 1.0)
    state.min_pool_lines = min((p.lines for p in sized), default=state.min_pool_lines)
    state.warm_rate = max(sum(p.established_rate for p in sized) / lines, state.warm_rate * WARM_RATE_DECAY)
    if not state.warm_rate:
        state.warm_rate = ASSUMED_WARM_RATE * sum(p.offered_rate for p in state.pools.values()) / lines
