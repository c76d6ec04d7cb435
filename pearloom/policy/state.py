"""What one softswitch knows of pools (session servers) and calls, and what all decisions share."""

from collections import deque
from dataclasses import dataclass, field
from random import Random

from pearloom import interface as api
from pearloom.interface import PoolState

START_BASE = 0.05  # x aim: unpressed delay assumed before the first answer
HEADROOM = 1.0  # calls: the design's "few"; as small as can be, since every proxy of the fleet has as many
BOUND_OF_AIM = 0.3  # x aim: stands in for the resend gap where nothing is resent, and caps it
RATE_LIMIT_BURST = 1.0  # calls: how far sends may run ahead of the rate limit
SMALL_FLEET = 8.0  # proxies: each of so few sees enough of a pool itself, own turns then count for nothing
TRIAL_GAP = 0.5  # x aim: first pause between single trials of a silent pool; it doubles


@dataclass(slots=True)
class Pool:
    """One server as this proxy sees it."""

    server: str
    cell: int
    state: PoolState
    base_us: float
    limit: float
    started_us: int = 0
    cold_until: int = 0
    budget_rounding: float = 0.0  # 0 to 1, drawn: rounds a cold budget below one call up at some softswitches
    credit: float = RATE_LIMIT_BURST  # calls that the rate limit leaves to send
    credit_at: int = 0
    out: dict[str, int] = field(default_factory=dict)  # unanswered set-ups: call -> sent at
    unpressed: int = 0  # answers that the unpressed delay was learnt from
    delay_us: float = 0.0  # excess over base_us, smoothed
    heard_at: int = -1  # last answer to a set-up
    answered_sent: int = -1  # when the youngest answered set-up was sent
    ejected: bool = False
    trial_at: int = 0
    trial_gap: float = 0.0
    free: float = 1e9  # lines thought free: as told, less own sends, plus own releases; no limit until told
    told: float = 1e9  # the same as told last
    line_turn: float = 0.0  # 0 to 1, drawn with each report
    lines: float = 1.0  # its size, once told: capacity is taken to go with it
    offered: int = 0
    stood: int = 0
    offered_rate: float = 0.0
    stood_rate: float = 0.0
    sends: deque[int] = field(default_factory=deque)  # set-ups within the last cold window
    errors: int = 0  # in a row, with no call that stood between
    cut_at: int = -1
    cuts: int = 0


@dataclass(slots=True)
class Call:
    """One call from its arrival until its answer is given and its attempts are settled."""

    name: str
    kind: api.CallClass
    rank: int
    deadline: int
    first_choice: int
    token: int
    number: str
    wanted_since: int  # arrival of the caller's first try
    route: api.Route | None = None
    answered: bool = False
    stands: bool = False
    attempts: int = 0
    current_attempt: int = -1  # number of the attempt that is out
    server: str = ""  # where it is out, or stands
    may_have_run: bool = False
    erred: str = ""  # the server that failed it
    hopeless: bool = False  # two servers failed it
    hold_until: int = 0
    release_at: int = 0
    due: int = -1  # when the call's timer is to act next
    unsettled: int = 0

    @property
    def sealed(self) -> bool:
        """It may have run and may not be repeated: neither sent again nor refused."""
        return self.may_have_run and not self.kind.repeatable


class State:
    """Facts of one softswitch that every decision may need; it learns them from its own events alone."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Know nothing but the settings."""
        self.settings, self.random = settings, Random(seed)
        self.pools: dict[str, Pool] = {}
        self.actions: list[api.Action] = []  # what the event at hand asks for
        self.now = self.retune_at = 0
        self.aim = min(kind.aim_us for kind in settings.classes)
        self.resend = min(settings.resend_us or self.aim, BOUND_OF_AIM * self.aim)
        self.sized = False  # sizes of pools are told
        self.warm_rate = 0.0  # own set-ups a second and line that pools were seen to carry
        self.arrivals = 0  # in this re-tune period
        self.pressed = 0.0  # share of own answers, at all pools, that were slow or 'full'
        self.own_rate = 0.0  # calls a second, redials included; 0 until a period has passed
        self.ready_lines = 0.0  # of all pools listed ready
        self.least_lines = 1.0  # of a pool of told size
        self.shut_rank = -1  # up to this rank all gates were found shut while this event is handled

    def own_interval_us(self, pool: Pool) -> float:
        """Time in which this proxy has one call for the pool if pools take calls by their size, us.

        Guards against pauses that are short beside it: hundreds of proxies whose pauses all end before the
        next call comes send as much as ever. Harm: a pool that is well again is found out so much later."""
        unseen = 1 - SMALL_FLEET / self.settings.fleet_size
        if not self.own_rate or unseen <= 0:
            return 0.0
        return unseen * 1e6 * max(self.ready_lines, pool.lines) / pool.lines / self.own_rate

    def sum_lines(self) -> None:
        """Kept when list or sizes change, since every look at a gate asks for it."""
        self.ready_lines = sum(p.lines for p in self.pools.values() if p.state is PoolState.READY)
