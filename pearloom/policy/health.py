"""Server health: what answers and ends of attempts say of a pool, and outlier ejection with single trials."""

from collections.abc import Mapping

from pearloom import interface as api
from pearloom.interface import Ending
from pearloom.policy.state import DELAY_CAP, FIRST_TRIAL_GAP, Call, Pool, State

FULL_PAUSE_US = 200_000  # shortest pause after 'processor full'
QUEUING_BOUND = (0.3, 0.6)  # of the resend gap, by rank 0, 1: more closes the gate; below, nothing is resent
BASE_GAIN = 0.1  # weight of an answer in the base delay, once ten have been seen
DELAY_GAIN = 0.5  # weight of an answer in the queuing delay: answers are few, so each counts for much
MIN_TRIAL_INTERVALS = 4.0  # times the interval of local calls for the pool: shortest pause between trials
MAX_TRIAL_INTERVALS = 10.0  # times the same interval: longest pause
OVERLOAD_GAIN = 0.1  # weight of an answer in the overload share
PAUSE_JITTER = 0.5  # of a pause: at most this is added at random, so that the fleet does not resume in step
TRIAL_GAP_DECAY = 0.25  # factor of the gap after an answer: one lucky answer must not undo all of it
MAX_TRIAL_GAP = 2.0  # times the aim: longest pause between trials, so that recovery is noticed in time
CONGESTED_DELAY = 0.4  # of the aim: a queuing delay above this ends no ejection and ejects the pool
ERROR_RUN = 2  # consecutive errors: one may be a signalling fault, two are the pool's
MASS_CUT = 2  # established calls cut in one batch: a processor died, not a single line


def record_answer(state: State, pool: Pool, delay_us: float) -> None:
    """Update the pool's base and queuing delay from an answered set-up, and end or start its ejection."""
    if not pool.base_samples:
        # Guards against a distant pool whose every answer seems to have queued beside the assumed base delay:
        # it is then never learnt, and the gate hardly opens. Harm: for a pool first met while congested, the
        # base delay is too high until some quicker answers have come.
        pool.base_delay_us = min(max(delay_us, pool.base_delay_us), DELAY_CAP * state.aim)
    queuing_us = max(delay_us - pool.base_delay_us, 0.0)
    state.overload += OVERLOAD_GAIN * ((queuing_us > QUEUING_BOUND[0] * state.resend_gap) - state.overload)
    pool.queuing_us += DELAY_GAIN * (queuing_us - pool.queuing_us)
    if queuing_us <= QUEUING_BOUND[0] * state.resend_gap:
        pool.base_samples += 1
        pool.base_delay_us += max(BASE_GAIN, 1 / pool.base_samples) * (delay_us - pool.base_delay_us)
    pool.answered_at, pool.error_run = state.now, 0
    if queuing_us > CONGESTED_DELAY * state.aim:
        # Guards against refilling a congested pool: its delay decays in a second or two, its queue does not.
        eject(state, pool, FIRST_TRIAL_GAP * state.aim)
    else:
        pool.is_ejected = False
        pool.trial_gap *= TRIAL_GAP_DECAY


def eject(state: State, pool: Pool, first_gap_us: float) -> None:
    """Send the pool only single trials, with growing pauses, until it answers one.

    Guards against a pool that accepts set-ups and answers none (hung, dead, disconnected), and one that
    rejects all and so seems quick and free: 'processor full' comes of a queue of seconds, which one pause
    does not clear. Harm: a pool that only stalled gets nothing for up to one gap longer."""
    if pool.is_ejected and state.now < pool.trial_at:
        return  # caused by set-ups sent before the ejection
    pool.is_ejected = True
    interval = state.local_interval_us(pool)
    least = max(first_gap_us, MIN_TRIAL_INTERVALS * interval) if first_gap_us else 0.0
    most = max(MAX_TRIAL_GAP * state.aim, MAX_TRIAL_INTERVALS * interval)
    pool.trial_gap = min(max(2 * pool.trial_gap, least), most)
    pause = max(pool.trial_gap, least)
    pool.trial_at = state.now + int(pause * (1 + PAUSE_JITTER * state.random.random()))


def record_ending(state: State, pool: Pool, event: api.AttemptEnded, call: Call) -> None:
    """Update the pool's health from the end of one of its attempts."""
    if event.ending is Ending.ENDED:
        pool.free_lines += 1  # the line released by this softswitch is free for it until the next report
    elif event.processor_full:
        state.overload += OVERLOAD_GAIN * (1 - state.overload)
        eject(state, pool, max(FULL_PAUSE_US, event.full_wait_us))
    elif event.ending is Ending.ERROR and call.failed_by not in ("", pool.server):
        # Guards against a call that no server can handle: the call fails, and neither server is blamed.
        call.failed_at_two = True
        if (first := state.pools.get(call.failed_by)) is not None:
            first.error_run = max(first.error_run - 1, 0)
    elif event.ending is Ending.ERROR:
        # Guards against a pool that fails its calls and so seems quick and free. Harm: single trials for one
        # pause where several called numbers are busy at the same time.
        call.failed_by = pool.server
        pool.error_run += 1
        if pool.error_run >= ERROR_RUN:
            eject(state, pool, FULL_PAUSE_US)
    elif event.no_line:
        pool.free_lines = 0
    elif event.ending is Ending.UNREACHABLE:
        eject(state, pool, FIRST_TRIAL_GAP * state.aim)
    elif event.ending is Ending.RESET:
        pool.cuts = pool.cuts + 1 if pool.cut_at == state.now else 1
        pool.cut_at = state.now
        if not call.is_established or pool.cuts >= MASS_CUT:
            # Guards against a dead server that the list reports seconds late. Harm: a pool that lost only its
            # established calls gets one set-up at a time until the first answer.
            eject(state, pool, 0.0)


def record_report(state: State, server: str, report: Mapping[str, float]) -> None:
    """Take over a pool's size and free lines from its report."""
    pool = state.pools.get(server)
    if pool is None or report.get("free_lines", -1) < 0:
        return
    pool.free_lines = pool.reported_free = report["free_lines"]
    pool.line_rounding = state.random.random()
    lines = max(report.get("lines", 1.0), 1.0)
    if lines != pool.lines:
        pool.lines = lines
        state.sum_lines()
    if pool.lines > 1 and not state.are_sizes_known:
        state.are_sizes_known, state.warm_rate = True, 0.0  # so far the rate was per server, not per line
