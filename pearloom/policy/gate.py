"""The bang-bang gate of each pool, on count, sustained delay and 'processor full'; and the rate limit."""

from pearloom.interface import PoolState
from pearloom.policy.health import WAIT_BOUND
from pearloom.policy.state import RATE_LIMIT_BURST, SMALL_FLEET, Pool, State

TOP_BOUND = 0.5  # x aim, rank 2: the best calls may wait as long as they still stand in time
TOP_EXTRA = 2  # calls: what the best calls may have out above the limit
LINES_KEPT = 0.02  # x size of the pool: lines kept free for rank 2, but one a proxy in a small fleet
LINES_SCARCE = 1.0  # lines for each proxy: with fewer told, each keeps to its own part of them
DELAY_HALVES = 0.6  # x aim: with no news, the excess delay is believed half gone after this (creeping back)
DELAY_INTERVALS = 2.0  # x own time between calls for one pool: the same, where that is longer
RATE_LIMIT = 1.15  # x a pool's part, by size, of own calls: past it the first choice goes after others
RATE_LIMIT_FROM = 0.25  # x aim: own time between calls for a pool from which on it counts
PRESSED = 0.05  # share of own answers that were slow or 'full': from here on the rate limit counts


def excess(state: State, pool: Pool) -> float:
    """Own delay at the pool above its unpressed level: the last answers', or the oldest wait if more."""
    halves = max(DELAY_HALVES * state.aim, DELAY_INTERVALS * state.own_interval_us(pool))
    believed: float = 0.5 ** ((state.now - pool.heard_at) / halves) if pool.heard_at >= 0 else 0.0
    # Guards against one set-up that was lost alone: others have passed it, so its wait is not the line's.
    oldest = next((sent for sent in pool.out.values() if sent >= pool.answered_sent), state.now)
    return max(pool.delay_us * believed, state.now - oldest - pool.base_us)


def is_open(state: State, pool: Pool, rank: int) -> bool:
    """The bang-bang gate: on count, on sustained delay and on 'processor full'."""
    if pool.state is not PoolState.READY or pool.free < 1:
        return False
    if pool.ejected:
        return not pool.out and state.now >= pool.trial_at
    # A part of the pool's size at most: one line for each of 280 proxies is more than a small pool has.
    if rank < 2:
        fleet = state.settings.fleet_size
        kept = min(fleet, max(SMALL_FLEET, LINES_KEPT * pool.lines))
        if pool.free < kept:
            return False
        # Guards against hundreds of proxies that all go for the same few lines told free: each has its
        # part, drawn anew with each report, and the lines that it gave back itself.
        part = (pool.told - kept) / fleet
        scarce = fleet > SMALL_FLEET and part < LINES_SCARCE
        if scarce and pool.told - pool.free >= int(part + pool.line_turn):
            return False
    if len(pool.out) >= max(1.0, pool.limit + (TOP_EXTRA if rank == 2 else 0)):
        return False
    bound = TOP_BOUND * state.aim if rank == 2 else WAIT_BOUND[rank] * state.resend
    return excess(state, pool) <= bound


def within_rate(state: State, pool: Pool) -> bool:
    """The limit where it is far below one call: has the pool had less than its part, by size, of calls?

    Guards against first choices that press one server while another idles: a proxy of a large fleet hears
    from a pool every few seconds, too late to see it. Harm: second choices where the first had room."""
    turn = state.own_interval_us(pool)
    if turn < RATE_LIMIT_FROM * state.aim or state.pressed < PRESSED:
        return True
    pool.credit = min(pool.credit + RATE_LIMIT * (state.now - pool.credit_at) / turn, RATE_LIMIT_BURST)
    pool.credit_at = state.now
    return pool.credit >= 1
