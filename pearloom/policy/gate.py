"""The on/off gate of each pool, by count, queuing delay and 'processor full'; and the rate limit."""

from pearloom.interface import PoolState
from pearloom.policy.health import QUEUING_BOUND
from pearloom.policy.state import RATE_LIMIT_BURST, SMALL_FLEET, Pool, State

TOP_RANK_BOUND = 0.5  # of the aim: queuing delay allowed for rank 2, with which calls are still in time
TOP_RANK_EXTRA = 2  # calls of rank 2 that may be outstanding above the limit
RESERVED_LINES = 0.02  # of the pool's size: lines reserved for rank 2; in a small fleet one per softswitch
SCARCE_LINES = 1.0  # free lines per softswitch: below this each uses only its own part of them
DELAY_HALF_LIFE = 0.6  # of the aim: without new answers the queuing delay is assumed to halve in this time
DELAY_HALF_LIFE_INTERVALS = 2.0  # times the interval of local calls for the pool: the same, if longer
RATE_LIMIT = 1.15  # times the pool's part, by size, of local calls: above it, other pools go before it
RATE_LIMIT_MIN_INTERVAL = 0.25  # of the aim: the rate limit applies from this time between local calls on
OVERLOADED_SHARE = 0.05  # of answers that were slow or 'processor full': the rate limit applies from here on


def queuing_delay_us(state: State, pool: Pool) -> float:
    """Estimate the pool's queuing delay from its last answers, or from the oldest wait if that is longer."""
    half_us = max(DELAY_HALF_LIFE * state.aim, DELAY_HALF_LIFE_INTERVALS * state.local_interval_us(pool))
    remaining: float = 0.5 ** ((state.now - pool.answered_at) / half_us) if pool.answered_at >= 0 else 0.0
    # Guards against a single lost set-up: later ones were answered, so its wait is not due to the queue.
    oldest = next((sent for sent in pool.outstanding.values() if sent >= pool.answered_sent_at), state.now)
    return max(pool.queuing_us * remaining, state.now - oldest - pool.base_delay_us)


def is_open(state: State, pool: Pool, rank: int) -> bool:
    """Whether the pool's gate is open to calls of this rank: by count, queuing delay and 'processor full'."""
    if pool.state is not PoolState.READY or pool.free_lines < 1:
        return False
    if pool.is_ejected:
        return not pool.outstanding and state.now >= pool.trial_at
    # A part of the pool's size at most: one line for each of 280 softswitches is more than a small pool has.
    if rank < 2:
        fleet = state.settings.fleet_size
        reserved = min(fleet, max(SMALL_FLEET, RESERVED_LINES * pool.lines))
        if pool.free_lines < reserved:
            return False
        # Guards against hundreds of softswitches that all take the same few lines reported free: each has its
        # part, rounded anew with each report, and the lines that its own calls released.
        part = (pool.reported_free - reserved) / fleet
        is_scarce = fleet > SMALL_FLEET and part < SCARCE_LINES
        if is_scarce and pool.reported_free - pool.free_lines >= int(part + pool.line_rounding):
            return False
    if len(pool.outstanding) >= max(1.0, pool.limit + (TOP_RANK_EXTRA if rank == 2 else 0)):
        return False
    bound = TOP_RANK_BOUND * state.aim if rank == 2 else QUEUING_BOUND[rank] * state.resend_gap
    return queuing_delay_us(state, pool) <= bound


def is_within_rate(state: State, pool: Pool) -> bool:
    """Whether the pool had less than its part, by size, of the local calls: a limit far below one call.

    Guards against first choices that overload one server while another idles: in a large fleet answers from
    a pool come every few seconds, too late to show it. Harm: second choices although the first had room."""
    interval = state.local_interval_us(pool)
    if interval < RATE_LIMIT_MIN_INTERVAL * state.aim or state.overload < OVERLOADED_SHARE:
        return True
    pool.credit = min(pool.credit + RATE_LIMIT * (state.now - pool.credit_at) / interval, RATE_LIMIT_BURST)
    pool.credit_at = state.now
    return pool.credit >= 1
