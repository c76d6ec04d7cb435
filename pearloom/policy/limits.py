"""The slow re-tune: rates of every period, and from them the limit of each pool's gate."""

from pearloom.interface import PoolState
from pearloom.policy.state import HEADROOM, State

RETUNE_US = 2_000_000  # us: the design's slow period; a handful of calls a second need about this long
LIMIT_FACTOR = 2.0  # x (offered rate x unpressed delay): the design's doubling
LIMIT_GROWTH = 1.25  # x a re-tune: a bunch of redials must not lift the limit at once
LEAST_RATE = 0.1  # calls a second: a proxy without traffic still finds out what is well again
RATE_GAIN = 0.4  # weight of one re-tune period in the rates
RATE_KEPT = 0.96  # x a re-tune: the best rate seen is half forgotten after half a minute without a better
UNSEEN_RATE = 0.5  # x own arrivals: what pools are thought to carry before any was seen to


def retune(state: State) -> None:
    """Every period: rates, and from them the limit, which may grow only so fast."""
    period = (state.now - state.retune_at + RETUNE_US) / 1e6  # a proxy with few events comes here late
    first, state.retune_at = state.retune_at == 0, state.now + RETUNE_US
    if first:
        return
    gain = RATE_GAIN if state.own_rate else 1.0
    state.own_rate = max(state.own_rate + gain * (state.arrivals / period - state.own_rate), LEAST_RATE)
    state.arrivals = 0
    # Guards against a day of new ids that fills the memory. Until its place is taken, its size is of use.
    ready = [p for p in state.pools.values() if p.state is PoolState.READY]
    taken = {p.cell for p in ready}
    kept = [p for p in state.pools.values() if p.state is not PoolState.GONE or p.out or p.cell not in taken]
    state.pools = {p.server: p for p in kept}
    for pool in state.pools.values():
        # Guards against a start, or an upgrade, after which the limit takes ten seconds to be what it was
        # while other gates are shut. Harm: a bunch of redials in a pool's first period lifts it at once.
        fresh = not pool.offered_rate
        pool.offered_rate += (1.0 if fresh else RATE_GAIN) * (pool.offered / period - pool.offered_rate)
        pool.stood_rate += RATE_GAIN * (pool.stood / period - pool.stood_rate)
        pool.offered = pool.stood = 0
        wanted = LIMIT_FACTOR * pool.offered_rate * pool.base_us / 1e6 + HEADROOM
        pool.limit = wanted if fresh else min(wanted, pool.limit * LIMIT_GROWTH)
    # Over all pools: at one pool a proxy of a large fleet sees a call every few seconds, and the best of
    # ten such counts is chance. What a pool carries while cold it carries warm.
    known = [p for p in ready if p.lines > 1 or not state.sized]
    lines = max(sum(p.lines for p in known), 1.0)
    state.least_lines = min((p.lines for p in known), default=state.least_lines)
    state.warm_rate = max(sum(p.stood_rate for p in known) / lines, state.warm_rate * RATE_KEPT)
    if not state.warm_rate:
        state.warm_rate = UNSEEN_RATE * sum(p.offered_rate for p in state.pools.values()) / lines
