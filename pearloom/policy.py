"""Every decision of pearloom: which call set-up goes to which central server (pool), and which is refused.

Interface: `pearloom/interface.py`. Mechanism: "A stochastic control approach to overload control of a
computer controlled telephone switch" (CWI): the bang-bang entry gate of its section 3 on the count of waiting
requests (2.4), blocked by slow answers and full buffers, its retrial flow folded into a slowly re-estimated
arrival rate (3.2). Here each sender keeps one gate a pool. `docs/design.md` tells what was changed.

Sections, in order: tuned values; what is kept of a pool and of a call; the controller: events, pool list,
gate, re-tune, route choice, the attempt's life, guards.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

from pearloom import interface as api
from pearloom.interface import Ending, ListKind, PoolState

# --- Tuned values -------------------------------------------------------------------------------------------
RETUNE_US = 2_000_000  # us: the design's slow period; a handful of calls a second need about this long
FULL_PAUSE_US = 200_000  # us: the design's least pause after 'processor full'
LIMIT_FACTOR = 2.0  # x (offered rate x unpressed delay): the design's doubling
HEADROOM = 1.0  # calls: the design's "few"; as small as can be, since every proxy of the fleet has as many
LIMIT_GROWTH = 1.25  # x a re-tune: a bunch of redials must not lift the limit at once
WAIT_BOUND = (0.3, 0.6)  # x resend gap, ranks 0, 1: added delay that shuts; below the gap nothing is resent
TOP_BOUND = 0.5  # x aim, rank 2: the best calls may wait as long as they still stand in time
BOUND_OF_AIM = 0.3  # x aim: stands in for the resend gap where nothing is resent, and caps it
TOP_EXTRA = 2  # calls: what the best calls may have out above the limit
LINES_KEPT = 0.02  # x size of the pool: lines kept free for rank 2, but one a proxy in a small fleet
LINES_SCARCE = 1.0  # lines for each proxy: with fewer told, each keeps to its own part of them
START_BASE = 0.05  # x aim: unpressed delay assumed before the first answer
BASE_GAIN = 0.1  # weight of one unpressed answer in the unpressed delay, once ten have been seen
DELAY_GAIN = 0.5  # weight of one answer in the delay: answers are few, so each counts for much
DELAY_HALVES = 0.6  # x aim: with no news, the excess delay is believed half gone after this (creeping back)
DELAY_TURNS = 2.0  # x own time between calls for one pool: the same, where that is longer
TRIAL_TURNS = 4.0  # x own time between calls for one pool: least pause between trials, so that they are few
TRIAL_TURNS_MOST = 10.0  # the same for the longest pause
PACE = 1.15  # x a pool's part, by size, of own calls: past it the first choice goes after others
PACE_FROM = 0.25  # x aim: own time between calls for a pool from which on the pace counts
PACE_DEPTH = 1.0  # calls: how far sends may run ahead of the pace
PRESSED = 0.05  # share of own answers that were slow or 'full': from here on the pace counts
PRESSED_GAIN = 0.1  # weight of one answer in that share
LEAST_RATE = 0.1  # calls a second: a proxy without traffic still finds out what is well again
SMALL_FLEET = 8.0  # proxies: each of so few sees enough of a pool itself, own turns then count for nothing
SPREAD = 0.5  # x a pause: up to so much is drawn on top, so that the fleet does not come back in step
WORTH_GAIN = 0.01  # weight of one call in the mean worth offered
RANK_STEPS = (0.5, 1.25)  # x mean worth: below the first rank 0, from the second on rank 2
SHARE_SLACK = 1.1  # x tenant's fraction: own mix is a small sample
SHARE_DEPTH = 8.0  # calls: how far a tenant may run ahead of its fraction
HOLD = 0.5  # x aim: how long a call may wait here for a gate to open; the rest is for the set-up
STAY_AWAY = 1.0  # x aim: what a refused caller is asked to wait; sooner it would meet the same shut gates
PULSE = 0.1  # x resend gap: how often held calls are put to the gates when nothing else happens
SILENT_AFTER = 0.5  # x aim: an attempt unanswered so long, with no other answer since, is silence
LOST_AFTER = 0.25  # x aim: how often an attempt that is out is looked at
LOST_DELAYS = 3.0  # x delay: an overtaken attempt older than this is lost
TRIAL_GAP = 0.5  # x aim: first pause between single trials of a silent pool; it doubles
TRIAL_FORGET = 0.25  # x an answer: what is left of the gap, so that one lucky answer does not undo all
TRIAL_GAP_MOST = 2.0  # x aim: longest pause between trials, so that recovery is seen in time
JAMMED = 0.4  # x aim: an answer slower than this reopens nothing, and puts the pool on trials
ERROR_RUN = 2  # errors in a row: one is a signalling fault, two are the pool's
CUT_BUNCH = 2  # standing calls cut in one batch: a processor died, not a line
COLD_SAFETY = 0.75  # x the cold budget: room for chance, for resends and for proxies that know less
COLD_RAMP = 0.7  # x a straight rise from cold share to warm that is counted on
RATE_GAIN = 0.4  # weight of one re-tune period in the rates
RATE_KEPT = 0.96  # x a re-tune: the best rate seen is half forgotten after half a minute without a better
UNSEEN_RATE = 0.5  # x own arrivals: what pools are thought to carry before any was seen to
USEFUL = 1.5  # x unpressed delay: patience below this is too little for a further attempt
ANSWER_MARGIN = 0.5  # x answer slack: by so much the final answer leaves ahead of the caller's end
ASK_AGAIN = 0.25  # x ask-within: pause before a failed subscription is asked for again


# --- What is kept of a pool and of a call -------------------------------------------------------------------
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
    turn: float = 0.0  # 0 to 1, drawn: which part of the fleet has its turn while there is less than one each
    credit: float = PACE_DEPTH  # calls that the pace leaves to send
    credit_at: int = 0
    out: dict[str, int] = field(default_factory=dict)  # unanswered set-ups: call -> sent at
    unpressed: int = 0  # answers that the unpressed delay was learnt from
    delay_us: float = 0.0  # excess over base_us, smoothed
    heard_at: int = -1  # last answer to a set-up
    answered_sent: int = -1  # when the youngest answered set-up was sent
    doubted: bool = False
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
    current: int = -1  # number of the attempt that is out
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


class Controller:
    """Decides for one proxy; knows only what its own events told it."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Start knowing nothing but the settings."""
        self._settings = settings
        self._random = Random(seed)
        self._pools: dict[str, Pool] = {}
        self._calls: dict[str, Call] = {}
        self._tokens: dict[int, str] = {}
        self._next_token = 2  # 0 asks for the list again, 1 looks after held calls
        self._actions: list[api.Action] = []
        self._now = 0
        self._retune_at = 0
        self._aim = min(kind.aim_us for kind in settings.classes)
        self._resend = min(settings.resend_us or self._aim, BOUND_OF_AIM * self._aim)
        self._sized = False  # sizes of pools are told
        self._warm_rate = 0.0  # own set-ups a second and line that pools were seen to carry
        self._arrivals = 0  # in this re-tune period
        self._pressed = 0.0  # share of own answers, at all pools, that were slow or 'full'
        self._own_rate = 0.0  # calls a second, redials included; 0 until a period has passed
        self._ready_lines = 0.0  # of all pools listed ready
        self._least_lines = 1.0  # of a pool of told size
        self._mean_worth = min(kind.worth for kind in settings.classes)  # most calls are of little worth
        self._held: tuple[deque[Call], ...] = (deque(), deque(), deque())
        self._pulse_at = -1
        self._shut_rank = -1  # up to this rank all gates were found shut while this event is handled
        # Number and class of callers that went unserved -> arrival of their first try.
        self._unserved: dict[tuple[str, api.CallClass], int] = {}
        self._share_left = [SHARE_DEPTH] * len(settings.tenants)

    # --- Events ---------------------------------------------------------------------------------------------
    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Take one event and return the actions it calls for, in order."""
        if now_us < self._now:
            raise ValueError(f"time runs backwards: {now_us} after {self._now}")
        self._now, self._actions, self._shut_rank = now_us, [], -1
        if now_us >= self._retune_at:
            self._retune()
        match event:
            case api.CallArrived():
                self._arrived(event)
            case api.CallStands():
                self._stands(event)
            case api.AttemptEnded():
                self._ended(event)
            case api.TimerDue(token):
                self._timer(token)
            case api.CallGone(name):
                if (call := self._calls.get(name)) is not None:
                    call.answered = True
                    self._forget(call)
            case api.PoolList():
                self._listed(event)
            case api.PoolReport():
                self._reported(event.server, event.report)
            case api.PeerMessage():
                pass
        self._release_held()
        return self._actions

    @property
    def avoided(self) -> int:
        """How many listed pools get single trials alone: silent, dead, jammed, full or failing."""
        return sum(pool.doubted and pool.state is PoolState.READY for pool in self._pools.values())

    @property
    def limits(self) -> dict[str, float]:
        """Set-ups that the gate of each listed pool allows out; 0 for one that gets single trials alone."""
        ready = (pool for pool in self._pools.values() if pool.state is PoolState.READY)
        return {pool.server: 0.0 if pool.doubted else pool.limit for pool in ready}

    def _arrived(self, event: api.CallArrived) -> None:
        if event.call in self._calls:
            raise ValueError(f"call {event.call}: it is already held")
        if not 0 <= event.kind < len(self._settings.classes):
            raise ValueError(f"call {event.call}: unknown class {event.kind}")
        kind = self._settings.classes[event.kind]
        margin = int(ANSWER_MARGIN * self._settings.answer_slack_us)
        deadline = self._now + max(event.patience_us - margin, 0)
        since = self._first_try(event, kind)
        rank = self._rank(kind, event.tenant, late=self._now >= since + kind.aim_us)
        call = Call(
            event.call, kind, rank, deadline, event.first_choice, self._next_token, event.number, since,
            event.route,
        )  # fmt: skip
        call.hold_until = min(self._now + int(HOLD * kind.aim_us), deadline)
        self._next_token += 1
        self._arrivals += 1
        self._calls[call.name] = call
        self._tokens[call.token] = call.name
        for pool in self._pools.values():
            if pool.cell == call.first_choice:
                pool.offered += 1
        self._place(call)

    def _first_try(self, event: api.CallArrived, kind: api.CallClass) -> int:
        """When the caller first tried: a number that went unserved here and is dialled again is a redial.

        Each unserved call explains one later call at most, so that a popular number is not all redials."""
        first = self._unserved.pop((event.number, kind), self._now)
        known = event.number and (event.redialled or not self._settings.marks_redials)
        return first if known and not event.was_cut and self._now < first + kind.deadline_us else self._now

    def _stands(self, event: api.CallStands) -> None:
        call = self._attempt_of(event.call, event.attempt, event.server)
        pool = self._pools.get(event.server)
        if pool is not None:
            pool.answered_sent = max(pool.answered_sent, pool.out.get(event.call, -1))
            self._heard(pool, event.setup_delay_us)
            pool.stood += 1
        if call.current == event.attempt:
            self._back(call)
            call.stands = call.answered = True

    def _ended(self, event: api.AttemptEnded) -> None:
        call = self._attempt_of(event.call, event.attempt, event.server)
        pool = self._pools.get(event.server)
        call.unsettled -= 1
        was_out = call.current == event.attempt
        if was_out:
            self._back(call)
        if pool is not None:
            self._reported(event.server, event.report)
            if not event.line_only:
                self._judge(pool, event, call)
        if event.call_over:
            call.answered = True
        if event.ending in (Ending.TIMED_OUT, Ending.RESET, Ending.CANCELLED):
            call.release_at = self._now + self._settings.release_us
        if event.ending not in (Ending.FULL, Ending.UNREACHABLE, Ending.NOT_SENT):
            call.may_have_run = True
        if not call.answered and was_out:
            self._place(call)
        self._forget(call)

    def _attempt_of(self, name: str, attempt: int, server: str) -> Call:
        call = self._calls.get(name)
        if call is None or not 0 <= attempt < call.attempts:
            raise ValueError(f"call {name}: attempt {attempt} to {server} was never made")
        return call

    # --- Pool list ------------------------------------------------------------------------------------------
    def _listed(self, event: api.PoolList) -> None:
        ask = self._settings.must_ask
        if event.kind is ListKind.FAILED:
            if ask:
                self._actions.append(api.SetTimer(int(ASK_AGAIN * self._settings.ask_within_us), 0))
            return
        if event.kind is ListKind.CACHED and ask:
            self._actions.append(api.Subscribe())
        for entry in event.entries:
            pool = self._pools.get(entry.server)
            if pool is None or entry.started_us != pool.started_us:
                out = pool.out if pool else {}
                sends = deque(at for at in pool.sends if at >= entry.started_us) if pool else deque()
                pool = Pool(
                    entry.server,
                    entry.cell,
                    entry.state,
                    START_BASE * self._aim,
                    HEADROOM,
                    started_us=entry.started_us,
                    out=out,
                    sends=sends,
                )
                # Told again only seconds later: its size is that of the server whose place it takes.
                pool.lines = max((p.lines for p in self._pools.values() if p.cell == entry.cell), default=1.0)
                if entry.started_us > 0:
                    pool.cold_until = entry.started_us + self._settings.warm_after_us
                    pool.turn = self._random.random()
                    if event.kind is ListKind.CACHED:
                        # Guards against a turn that a proxy had before its restart and now takes again.
                        pool.sends = deque([self._now] * self._settings.max_attempts)
                self._pools[entry.server] = pool
            pool.state, pool.cell = entry.state, entry.cell
        if event.kind is not ListKind.CHANGES:
            named = {entry.server for entry in event.entries}
            for pool in self._pools.values():
                if pool.server not in named:
                    pool.state = PoolState.GONE
        self._sum_lines()

    def _reported(self, server: str, report: Mapping[str, float]) -> None:
        pool = self._pools.get(server)
        if pool is None or report.get("free_lines", -1) < 0:
            return
        pool.free = pool.told = report["free_lines"]
        pool.line_turn = self._random.random()
        lines = max(report.get("lines", 1.0), 1.0)
        if lines != pool.lines:
            pool.lines = lines
            self._sum_lines()
        if pool.lines > 1 and not self._sized:
            self._sized, self._warm_rate = True, 0.0  # so far it was by server, not by line

    # --- The gate -------------------------------------------------------------------------------------------
    def _rank(self, kind: api.CallClass, tenant: int, late: bool = False) -> int:
        """0 is refused first, 2 last: by worth against the mean, and by the tenant's part of own traffic.

        A redial that comes after its aim can earn no more than the late worth: first tries go before it."""
        worth = kind.worth * (kind.late_worth if late else 1)
        if 0 <= tenant < len(self._share_left):
            left = self._share_left
            for number, share in enumerate(self._settings.tenants):
                left[number] = min(left[number] + SHARE_SLACK * share.fraction, SHARE_DEPTH)
            if left[tenant] < 1:
                worth *= self._settings.over_share_worth
            else:
                left[tenant] -= 1
        rank = sum(worth >= step * self._mean_worth for step in RANK_STEPS)
        self._mean_worth += WORTH_GAIN * (kind.worth - self._mean_worth)
        return rank

    def _excess(self, pool: Pool) -> float:
        """Own delay at the pool above its unpressed level: the last answers', or the oldest wait if more."""
        age = self._now - pool.heard_at
        excess: float = (
            pool.delay_us * 0.5 ** (age / max(DELAY_HALVES * self._aim, DELAY_TURNS * self._own_turn(pool)))
            if pool.heard_at >= 0
            else 0.0
        )
        # Guards against one set-up that was lost alone: others have passed it, so its wait is not the line's.
        oldest = next((sent for sent in pool.out.values() if sent >= pool.answered_sent), self._now)
        return max(excess, self._now - oldest - pool.base_us)

    def _own_turn(self, pool: Pool) -> float:
        """Time in which this proxy has one call for the pool if pools take calls by their size, us.

        Guards against pauses that are short beside it: hundreds of proxies whose pauses all end before the
        next call comes send as much as ever. Harm: a pool that is well again is found out so much later."""
        unseen = 1 - SMALL_FLEET / self._settings.fleet_size
        if not self._own_rate or unseen <= 0:
            return 0.0
        return unseen * 1e6 * max(self._ready_lines, pool.lines) / pool.lines / self._own_rate

    def _sum_lines(self) -> None:
        """Kept when list or sizes change, since every look at a gate asks for it."""
        self._ready_lines = sum(p.lines for p in self._pools.values() if p.state is PoolState.READY)

    def _open(self, pool: Pool, rank: int) -> bool:
        """The bang-bang gate: on count, on sustained delay and on 'processor full'."""
        if pool.state is not PoolState.READY or pool.free < 1:
            return False
        if pool.doubted:
            return not pool.out and self._now >= pool.trial_at
        # A part of the pool's size at most: one line for each of 280 proxies is more than a small pool has.
        if rank < 2:
            fleet = self._settings.fleet_size
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
        bound = TOP_BOUND * self._aim if rank == 2 else WAIT_BOUND[rank] * self._resend
        return self._excess(pool) <= bound

    def _in_pace(self, pool: Pool) -> bool:
        """The limit where it is far below one call: has the pool had less than its part, by size, of calls?

        Guards against first choices that press one server while another idles: a proxy of a large fleet hears
        from a pool every few seconds, too late to see it. Harm: second choices where the first had room."""
        turn = self._own_turn(pool)
        if turn < PACE_FROM * self._aim or self._pressed < PRESSED:
            return True
        pool.credit = min(pool.credit + PACE * (self._now - pool.credit_at) / turn, PACE_DEPTH)
        pool.credit_at = self._now
        return pool.credit >= 1

    def _heard(self, pool: Pool, delay_us: float) -> None:
        """A set-up was answered: the pool's delay, its unpressed level, and the end of any silence."""
        if not pool.unpressed:
            # Guards against a far pool whose every answer looks pressed beside the level assumed at first, so
            # that the level is never learnt and the gate hardly opens. Harm: of a pool first met in a jam the
            # level is too high until some quicker answers have come.
            pool.base_us = min(max(delay_us, pool.base_us), BOUND_OF_AIM * self._aim)
        excess = max(delay_us - pool.base_us, 0.0)
        self._pressed += PRESSED_GAIN * ((excess > WAIT_BOUND[0] * self._resend) - self._pressed)
        pool.delay_us += DELAY_GAIN * (excess - pool.delay_us)
        if excess <= WAIT_BOUND[0] * self._resend:
            pool.unpressed += 1
            pool.base_us += max(BASE_GAIN, 1 / pool.unpressed) * (delay_us - pool.base_us)
        pool.heard_at = self._now
        pool.errors = 0
        if excess > JAMMED * self._aim:
            # Guards against refilling a jam: the delay is forgotten in a second or two, the queue is not.
            self._doubt(pool, TRIAL_GAP * self._aim)
        else:
            pool.doubted = False
            pool.trial_gap *= TRIAL_FORGET

    def _doubt(self, pool: Pool, first_gap_us: float) -> None:
        """The pool takes nothing: from here on single trials, ever rarer, until it answers one.

        Guards against a pool that takes work and answers nothing (hung, dead, cut off), and one that turns
        everything away at once and so looks quick and free: 'full' comes of a wait of seconds, which one
        pause does not clear. Harm: a pool that only stalled is left alone up to a gap after its stall."""
        if pool.doubted and self._now < pool.trial_at:
            return  # the same bad news, from set-ups sent before it was known
        pool.doubted = True
        turn = self._own_turn(pool)
        least = max(first_gap_us, TRIAL_TURNS * turn) if first_gap_us else 0.0
        most = max(TRIAL_GAP_MOST * self._aim, TRIAL_TURNS_MOST * turn)
        pool.trial_gap = min(max(2 * pool.trial_gap, least), most)
        pause = max(pool.trial_gap, least)
        pool.trial_at = self._now + int(pause * (1 + SPREAD * self._random.random()))

    def _judge(self, pool: Pool, event: api.AttemptEnded, call: Call) -> None:
        """What an attempt's ending says of its pool."""
        if event.ending is Ending.ENDED:
            pool.free += 1  # the line that this proxy gave back is its to use until the next report
        elif event.processor_full:
            self._pressed += PRESSED_GAIN * (1 - self._pressed)
            self._doubt(pool, max(FULL_PAUSE_US, event.full_wait_us))
        elif event.ending is Ending.ERROR and call.erred not in ("", pool.server):
            # Guards against a call that no server can use: it is failed, and neither server is blamed for it.
            call.hopeless = True
            if (first := self._pools.get(call.erred)) is not None:
                first.errors = max(first.errors - 1, 0)
        elif event.ending is Ending.ERROR:
            # Guards against a pool that fails what it takes, and so looks quick and free. Harm: single trials
            # for one pause where several called numbers are busy at once.
            call.erred = pool.server
            pool.errors += 1
            if pool.errors >= ERROR_RUN:
                self._doubt(pool, FULL_PAUSE_US)
        elif event.no_line:
            pool.free = 0
        elif event.ending is Ending.UNREACHABLE:
            self._doubt(pool, TRIAL_GAP * self._aim)
        elif event.ending is Ending.RESET:
            pool.cuts = pool.cuts + 1 if pool.cut_at == self._now else 1
            pool.cut_at = self._now
            if not call.stands or pool.cuts >= CUT_BUNCH:
                # Guards against a death that the list tells of seconds late. Harm: a pool that loses only its
                # standing calls takes one set-up at a time until the first answer.
                self._doubt(pool, 0.0)

    # --- The re-tune ----------------------------------------------------------------------------------------
    def _retune(self) -> None:
        """Every period: rates, and from them the limit, which may grow only so fast."""
        first = self._retune_at == 0
        period = (self._now - self._retune_at + RETUNE_US) / 1e6  # a proxy with few events comes here late
        self._retune_at = self._now + RETUNE_US
        if first:
            return
        gain = RATE_GAIN if self._own_rate else 1.0
        self._own_rate = max(self._own_rate + gain * (self._arrivals / period - self._own_rate), LEAST_RATE)
        self._arrivals = 0
        longest = max(kind.deadline_us for kind in self._settings.classes)
        self._unserved = {key: at for key, at in self._unserved.items() if self._now < at + longest}
        # Guards against a day of new ids that fills the memory. Until its place is taken, its size is of use.
        taken = {p.cell for p in self._pools.values() if p.state is PoolState.READY}
        self._pools = {
            name: p
            for name, p in self._pools.items()
            if p.state is not PoolState.GONE or p.out or p.cell not in taken
        }
        for pool in self._pools.values():
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
        known = [
            p for p in self._pools.values() if p.state is PoolState.READY and (p.lines > 1 or not self._sized)
        ]
        lines = max(sum(p.lines for p in known), 1.0)
        self._least_lines = min((p.lines for p in known), default=self._least_lines)
        self._warm_rate = max(sum(p.stood_rate for p in known) / lines, self._warm_rate * RATE_KEPT)
        if not self._warm_rate:
            self._warm_rate = UNSEEN_RATE * sum(p.offered_rate for p in self._pools.values()) / lines

    # --- Route choice ---------------------------------------------------------------------------------------
    def _choose(self, call: Call) -> Pool | None:
        """First choice while its gate is open, else a draw over the others, lighter the longer their delay.

        The best calls first look where an ordinary call would be let in, then where only they are."""
        for rank in (1, 2) if call.rank == 2 else (call.rank,):
            opened = [pool for pool in self._pools.values() if self._open(pool, rank)]
            if not opened:
                self._shut_rank = max(self._shut_rank, rank)
            able = [pool for pool in opened if self._allowed(call, pool)]
            able = [pool for pool in able if self._in_pace(pool)] or able
            able = [pool for pool in able if pool.server != call.erred] or able
            if call.route is not None and able:
                # Last: rules order what the gates have left, and never open one.
                tiers = [call.route.tiers.get(pool.cell, call.route.tier) for pool in able]
                able = [pool for pool, tier in zip(able, tiers, strict=True) if tier == min(tiers)]
            for pool in able:
                if pool.cell == call.first_choice:
                    return pool
            if able:
                weights = [pool.free / (pool.base_us + self._excess(pool)) for pool in able]
                if call.route is not None:
                    factors = call.route.weights
                    weights = [w * factors.get(p.cell, 1.0) for w, p in zip(weights, able, strict=True)]
                return self._random.choices(able, weights)[0]
        return None

    # --- The attempt's life ---------------------------------------------------------------------------------
    def _place(self, call: Call) -> None:
        """Send the call, or wait for its release time, or refuse it."""
        tried = call.attempts >= self._settings.max_attempts or call.hopeless
        if self._now >= call.deadline or tried or call.sealed:
            self._answer(call, refuse=False)
            return
        if self._now < call.release_at:
            if call.release_at + USEFUL * START_BASE * self._aim < call.deadline:
                self._wake(call, call.release_at)
            else:
                self._answer(call, refuse=False)
            return
        pool = self._choose(call)
        if pool is not None and self._send(call, pool):
            return
        route, ready = call.route, [p for p in self._pools.values() if p.state is PoolState.READY]
        if route is not None and ready and not any(self._leaves(route, pool) for pool in ready):
            self._answer(call, refuse=True)  # to wait would be for nothing
        elif self._now < call.hold_until:
            self._held[call.rank].append(call)
            self._wake(call, call.hold_until)
        else:
            self._answer(call, refuse=True)

    def _release_held(self) -> None:
        """Put held calls to the gate again, best first; where one finds none open its rank waits on.

        Guards against refusing a bunch (redials after a cut, a short burst) that would fit within the aim.
        Harm: in a long overload every call that stands has waited, so the hold stays well inside the aim."""
        for rank in (2, 1, 0):
            line, aside = self._held[rank], list[Call]()
            while line:
                call = line[0]
                if not call.answered and call.current < 0:
                    if rank <= self._shut_rank:  # a gate that is shut is shut for lower ranks too
                        break
                    pool = self._choose(call)
                    if pool is None or not self._send(call, pool):
                        if call.route is None:
                            break
                        aside.append(call)  # its rules may leave it less than those behind it
                line.popleft()
            line.extendleft(reversed(aside))
        if any(self._held) and self._now >= self._pulse_at:
            self._pulse_at = self._now + int(PULSE * self._resend)
            self._actions.append(api.SetTimer(int(PULSE * self._resend), 1))

    def _wake(self, call: Call, at: int) -> None:
        call.due = at
        self._actions.append(api.SetTimer(max(at - self._now, 1), call.token))

    def _timer(self, token: int) -> None:
        if token == 0:
            self._actions.append(api.Subscribe())
            return
        call = self._calls.get(self._tokens.get(token, ""))
        if call is None or call.answered or self._now < call.due:
            return
        if self._now >= call.deadline:
            self._answer(call, refuse=False)
        elif call.current >= 0:
            self._check(call)
        else:
            self._place(call)

    def _check(self, call: Call) -> None:
        """An attempt has waited long: is its pool silent, or is it lost alone? Then take it back in time.

        Set-ups are served in turn, so one that a later one has overtaken by far was lost, whatever the cause;
        a pool that answered nothing since is silent, and a call that was its trial leaves it if another gate
        is open (ordinary calls stay: most silences are stalls, and leaving wastes the work). Harm: a
        processor that serves some classes first; hence the wide margin of LOST_DELAYS."""
        pool = self._pools[call.server]
        sent = pool.out[call.name]
        age = self._now - sent
        overtaken = pool.answered_sent > sent and age > LOST_DELAYS * (pool.base_us + pool.delay_us)
        silent = pool.heard_at < sent and 0 <= age - SILENT_AFTER * self._aim < LOST_AFTER * self._aim
        if silent:
            trial = pool.doubted
            self._doubt(pool, TRIAL_GAP * self._aim)
            silent = trial and any(self._open(other, call.rank) for other in self._pools.values())
        back = self._now + self._settings.release_us
        useful = call.kind.repeatable and call.deadline - back > USEFUL * pool.base_us
        if (silent or overtaken) and useful and self._settings.may_cancel:
            self._actions.append(api.CancelAttempt(call.name, call.current))
            call.hold_until = min(call.deadline, back + int(HOLD * call.kind.aim_us))
            self._wake(call, call.deadline)
        else:
            self._wake(call, min(call.deadline, self._now + int(LOST_AFTER * self._aim)))

    def _back(self, call: Call) -> None:
        """The attempt is no longer out."""
        pool = self._pools.get(call.server)
        if pool is not None:
            pool.out.pop(call.name, None)
        call.current = -1

    def _answer(self, call: Call, refuse: bool) -> None:
        """The one final answer."""
        if call.current >= 0 and self._settings.may_cancel:
            self._actions.append(api.CancelAttempt(call.name, call.current))
        call.answered = True
        if call.number:
            self._unserved[call.number, call.kind] = call.wanted_since
        if refuse and not call.sealed:
            # Guards against redials that press shut gates; told at once, not by holding the answer back.
            wait = self._settings.stay_away_us(int(STAY_AWAY * self._aim))
            self._actions.append(api.Refuse(call.name, wait))
        else:
            self._actions.append(api.Fail(call.name))
        self._forget(call)

    def _forget(self, call: Call) -> None:
        if call.answered and call.unsettled == 0:
            self._calls.pop(call.name, None)
            self._tokens.pop(call.token, None)

    # --- Guards: the last check that every send passes ------------------------------------------------------
    def _allowed(self, call: Call, pool: Pool) -> bool:
        """May this call go to this pool now, by the rules alone?"""
        return (
            not call.answered
            and call.current < 0
            and call.attempts < self._settings.max_attempts
            and self._now >= call.release_at
            and self._now < call.deadline
            and not call.sealed
            and pool.state is PoolState.READY
            and (not call.kind.cells or pool.cell in call.kind.cells)
            and (call.route is None or self._leaves(call.route, pool))
            and self._cold_room(pool)
        )

    def _leaves(self, route: api.Route, pool: Pool) -> bool:
        """Do the rules leave the call this pool? They only narrow: what else forbids it still does."""
        return pool.cell not in route.closed and (route.only is None or pool.cell in route.only)

    def _cold_room(self, pool: Pool) -> bool:
        """A budget over every window of the stated length while the pool may be cold.

        Own part of the fleet's push: own rate a line over all pools. If each keeps to its own, all keep it.
        Guards also against rounding up: of a part below one, each proxy's own drawn turn decides whether it
        is one of those that send, so that hundreds who see one list at once send the sum of their budgets."""
        window = self._settings.fall_us
        while pool.sends and pool.sends[0] <= self._now - window:
            pool.sends.popleft()
        if self._now >= pool.cold_until:
            return True
        # The ramp is not told; only a part of a straight one is counted on.
        warmed = 1 - (pool.cold_until - self._now) / self._settings.warm_after_us
        share = self._settings.cold_share + COLD_RAMP * (1 - self._settings.cold_share) * max(warmed, 0.0)
        lines = self._least_lines if pool.lines == 1 else pool.lines  # a new pool's size is told late
        budget = COLD_SAFETY * self._settings.fall_multiple * share * self._warm_rate * lines * window / 1e6
        return len(pool.sends) < int(budget + pool.turn)

    def _send(self, call: Call, pool: Pool) -> bool:
        """The only place where a set-up leaves."""
        if not self._allowed(call, pool):
            return False
        call.current, call.server = call.attempts, pool.server
        call.attempts += 1
        call.unsettled += 1
        pool.out[call.name] = self._now
        pool.sends.append(self._now)
        pool.free -= 1
        pool.credit -= 1
        self._actions.append(api.SendSetUp(call.name, pool.server, call.deadline - self._now))
        self._wake(call, min(call.deadline, self._now + int(LOST_AFTER * self._aim)))
        return True
