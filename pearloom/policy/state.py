"""State of one softswitch: its pools (session servers) and calls. All times are in microseconds."""

from collections import deque
from dataclasses import dataclass, field
from random import Random

from pearloom import interface as api
from pearloom.interface import PoolState

INITIAL_BASE_DELAY = 0.05  # of the aim: base delay assumed before the first answer
LIMIT_HEADROOM = 1.0  # calls above the expected need; few, since every softswitch of the fleet adds them
DELAY_CAP = 0.3  # of the aim: caps base delay and resend gap, and replaces the gap where nothing is resent
RATE_LIMIT_BURST = 1.0  # calls by which sends may exceed the rate limit
SMALL_FLEET = 8.0  # softswitches: each of so few sees enough of every pool; call intervals do not count
FIRST_TRIAL_GAP = 0.5  # of the aim: first pause between single trials of a silent pool; it doubles


@dataclass(slots=True)
class Pool:
    """One session server as this softswitch sees it."""

    server: str
    cell: int
    state: PoolState
    base_delay_us: float  # smoothed delay of answers that did not queue at the server
    limit: float  # outstanding set-ups that the gate allows
    started_us: int = 0
    cold_until: int = 0
    budget_rounding: float = 0.0  # 0 to 1, random: some softswitches round a cold budget below one call up
    credit: float = RATE_LIMIT_BURST  # calls that the rate limit still allows
    credit_at: int = 0
    outstanding: dict[str, int] = field(default_factory=dict)  # unanswered set-ups: call -> when sent
    base_samples: int = 0  # answers that the base delay was computed from
    queuing_us: float = 0.0  # delay above the base delay, smoothed
    answered_at: int = -1  # time of the last answer to a set-up
    answered_sent_at: int = -1  # when the set-up was sent that is the latest sent of those answered
    is_ejected: bool = False
    trial_at: int = 0
    trial_gap: float = 0.0
    free_lines: float = 1e9  # last report, less lines taken since, plus lines released here; first: no limit
    reported_free: float = 1e9  # free lines in the last report
    line_rounding: float = 0.0  # 0 to 1, random for each report: rounds a part of the free lines below one
    lines: float = 1.0  # size, once reported: capacity is assumed proportional to it
    offered: int = 0  # calls in this period whose first choice is this pool
    established: int = 0  # calls that this pool answered in this period
    offered_rate: float = 0.0  # calls per second
    established_rate: float = 0.0  # calls per second
    sends: deque[int] = field(default_factory=deque)  # when set-ups were sent, within the last cold window
    error_run: int = 0  # consecutive errors, without an answered call between them
    cut_at: int = -1
    cuts: int = 0  # calls cut in the batch at `cut_at`


@dataclass(slots=True)
class Call:
    """One call from its arrival until its final answer is given and its attempts are settled."""

    name: str
    call_class: api.CallClass
    rank: int
    deadline: int
    first_choice: int
    token: int  # of its timer
    called_number: str
    first_tried_at: int  # arrival of the caller's first try
    route: api.Route | None = None
    is_decided: bool = False  # the final answer was given, or none is needed any more
    is_established: bool = False
    attempts: int = 0
    current_attempt: int = -1  # number of the attempt that waits for its outcome; -1: none
    server: str = ""  # of the current attempt or of the established call
    may_have_run: bool = False
    failed_by: str = ""  # server that answered an attempt with an error
    failed_at_two: bool = False  # two servers answered with an error
    hold_until: int = 0
    release_at: int = 0  # earliest time of the next attempt
    due_at: int = -1  # when the call's timer next takes effect
    unsettled_attempts: int = 0

    @property
    def must_not_repeat(self) -> bool:
        """Whether it may have run and is not repeatable: it is neither sent again nor refused."""
        return self.may_have_run and not self.call_class.repeatable


class State:
    """Data of one softswitch that all decisions share; it comes from the softswitch's own events alone."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Start from the settings, without pools."""
        self.settings, self.random = settings, Random(seed)
        self.pools: dict[str, Pool] = {}
        self.actions: list[api.Action] = []  # result of the event that is being handled
        self.now = self.retune_at = 0
        self.aim = min(call_class.aim_us for call_class in settings.classes)
        self.resend_gap = min(settings.resend_us or self.aim, DELAY_CAP * self.aim)
        self.are_sizes_known = False  # a pool has reported its size
        self.warm_rate = 0.0  # calls of this softswitch that pools were seen to carry, per second and line
        self.arrivals = 0  # calls in this retune period
        self.overload = 0.0  # share of answers, at all pools, that were slow or 'processor full'
        self.local_rate = 0.0  # calls per second, redials included; 0 until a period has passed
        self.ready_lines = 0.0  # sum over all pools listed as ready
        self.min_pool_lines = 1.0  # of the pools with a reported size
        self.closed_rank = -1  # up to this rank all gates were found closed during the current event

    def local_interval_us(self, pool: Pool) -> float:
        """Mean time between this softswitch's calls for the pool if pools take calls by their size.

        Guards against pauses shorter than this: if the pauses of hundreds of softswitches all end before
        their next calls come, they send as much as ever. Harm: recovery is noticed later by as much."""
        unseen = 1 - SMALL_FLEET / self.settings.fleet_size
        if not self.local_rate or unseen <= 0:
            return 0.0
        return unseen * 1e6 * max(self.ready_lines, pool.lines) / pool.lines / self.local_rate

    def sum_lines(self) -> None:
        """Update the sum of ready lines when the list or a size changes; every check of a gate needs it."""
        self.ready_lines = sum(p.lines for p in self.pools.values() if p.state is PoolState.READY)
