"""Server health: what answers and ends of attempts say of a pool, and outlier ejection with single trials."""

from collections.abc import Mapping

from pearloom import interface as api
from pearloom.interface import Ending
from pearloom.policy.state import BOUND_OF_AIM, TRIAL_GAP, Call, Pool, State

FULL_PAUSE_US = 200_000  # us: the design's least pause after 'processor full'
WAIT_BOUND = (0.3, 0.6)  # x resend gap, ranks 0, 1: added delay that shuts; below the gap nothing is resent
BASE_GAIN = 0.1  # weight of one unpressed answer in the unpressed delay, once ten have been seen
DELAY_GAIN = 0.5  # weight of one answer in the delay: answers are few, so each counts for much
TRIAL_INTERVALS = 4.0  # x own time between calls for one pool: least pause between trials
TRIAL_INTERVALS_MOST = 10.0  # the same for the longest pause
PRESSED_GAIN = 0.1  # weight of one answer in that share
SPREAD = 0.5  # x a pause: up to so much is drawn on top, so that the fleet does not come back in step
TRIAL_FORGET = 0.25  # x an answer: what is left of the gap, so that one lucky answer does not undo all
TRIAL_GAP_MOST = 2.0  # x aim: longest pause between trials, so that recovery is seen in time
JAMMED = 0.4  # x aim: an answer slower than this reopens nothing, and puts the pool on trials
ERROR_RUN = 2  # errors in a row: one is a signalling fault, two are the pool's
CUT_BUNCH = 2  # standing calls cut in one batch: a processor died, not a line


def heard(state: State, pool: Pool, delay_us: float) -> None:
    """A set-up was answered: the pool's delay, its unpressed level, and the end of any silence."""
    if not pool.unpressed:
        # Guards against a far pool whose every answer looks pressed beside the level assumed at first, so
        # that the level is never learnt and the gate hardly opens. Harm: of a pool first met in a jam the
        # level is too high until some quicker answers have come.
        pool.base_us = min(max(delay_us, pool.base_us), BOUND_OF_AIM * state.aim)
    excess = max(delay_us - pool.base_us, 0.0)
    state.pressed += PRESSED_GAIN * ((excess > WAIT_BOUND[0] * state.resend) - state.pressed)
    pool.delay_us += DELAY_GAIN * (excess - pool.delay_us)
    if excess <= WAIT_BOUND[0] * state.resend:
        pool.unpressed += 1
        pool.base_us += max(BASE_GAIN, 1 / pool.unpressed) * (delay_us - pool.base_us)
    pool.heard_at, pool.errors = state.now, 0
    if excess > JAMMED * state.aim:
        # Guards against refilling a jam: the delay is forgotten in a second or two, the queue is not.
        eject(state, pool, TRIAL_GAP * state.aim)
    else:
        pool.ejected = False
        pool.trial_gap *= TRIAL_FORGET


def eject(state: State, pool: Pool, first_gap_us: float) -> None:
    """The pool takes nothing: from here on single trials, ever rarer, until it answers one.

    Guards against a pool that takes work and answers nothing (hung, dead, cut off), and one that turns
    everything away at once and so looks quick and free: 'full' comes of a wait of seconds, which one
    pause does not clear. Harm: a pool that only stalled is left alone up to a gap after its stall."""
    if pool.ejected and state.now < pool.trial_at:
        return  # the same bad news, from set-ups sent before it was known
    pool.ejected = True
    turn = state.own_interval_us(pool)
    least = max(first_gap_us, TRIAL_INTERVALS * turn) if first_gap_us else 0.0
    most = max(TRIAL_GAP_MOST * state.aim, TRIAL_INTERVALS_MOST * turn)
    pool.trial_gap = min(max(2 * pool.trial_gap, least), most)
    pause = max(pool.trial_gap, least)
    pool.trial_at = state.now + int(pause * (1 + SPREAD * state.random.random()))


def judge(state: State, pool: Pool, event: api.AttemptEnded, call: Call) -> None:
    """What an attempt's ending says of its pool."""
    if event.ending is Ending.ENDED:
        pool.free += 1  # the line that this proxy gave back is its to use until the next report
    elif event.processor_full:
        state.pressed += PRESSED_GAIN * (1 - state.pressed)
        eject(state, pool, max(FULL_PAUSE_US, event.full_wait_us))
    elif event.ending is Ending.ERROR and call.erred not in ("", pool.server):
        # Guards against a call that no server can use: it is failed, and neither server is blamed for it.
        call.hopeless = True
        if (first := state.pools.get(call.erred)) is not None:
            first.errors = max(first.errors - 1, 0)
    elif event.ending is Ending.ERROR:
        # Guards against a pool that fails what it takes, and so looks quick and free. Harm: single trials
        # for one pause where several called numbers are busy at once.
        call.erred = pool.server
        pool.errors += 1
        if pool.errors >= ERROR_RUN:
            eject(state, pool, FULL_PAUSE_US)
    elif event.no_line:
        pool.free = 0
    elif event.ending is Ending.UNREACHABLE:
        eject(state, pool, TRIAL_GAP * state.aim)
    elif event.ending is Ending.RESET:
        pool.cuts = pool.cuts + 1 if pool.cut_at == state.now else 1
        pool.cut_at = state.now
        if not call.stands or pool.cuts >= CUT_BUNCH:
            # Guards against a death that the list tells of seconds late. Harm: a pool that loses only its
            # standing calls takes one set-up at a time until the first answer.
            eject(state, pool, 0.0)


def reported(state: State, server: str, report: Mapping[str, float]) -> None:
    """A pool told how many of its lines are free."""
    pool = state.pools.get(server)
    if pool is None or report.get("free_lines", -1) < 0:
        return
    pool.free = pool.told = report["free_lines"]
    pool.line_turn = state.random.random()
    lines = max(report.get("lines", 1.0), 1.0)
    if lines != pool.lines:
        pool.lines = lines
        state.sum_lines()
    if pool.lines > 1 and not state.sized:
        state.sized, state.warm_rate = True, 0.0  # so far it was by server, not by line
