"""The life of a call: sent, held for a gate, looked after while it is out, answered once."""

from collections import deque

from pearloom import interface as api
from pearloom.interface import Ending, PoolState
from pearloom.policy import gate, health, routes
from pearloom.policy.state import START_BASE, TRIAL_GAP, Call, Pool, State

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
USEFUL = 1.5  # x unpressed delay: patience below this is too little for a further attempt
ANSWER_MARGIN = 0.5  # x answer slack: by so much the final answer leaves ahead of the caller's end


class Calls:
    """Owns every call from its arrival until its answer is given and its attempts are settled."""

    def __init__(self, state: State) -> None:
        """No call is here."""
        self._state = state
        self._calls: dict[str, Call] = {}
        self._tokens: dict[int, str] = {}
        self._next_token = 2  # 0 asks for the list again, 1 looks after held calls
        self._held: tuple[deque[Call], ...] = (deque(), deque(), deque())
        self._pulse_at = -1
        self._mean_worth = min(kind.worth for kind in state.settings.classes)  # that of most calls
        self._share_left = [SHARE_DEPTH] * len(state.settings.tenants)
        self._unserved: dict[tuple[str, api.CallClass], int] = {}  # arrival of their first try

    def arrived(self, event: api.CallArrived) -> None:
        """A call was handed to this softswitch and is owed one final answer."""
        state = self._state
        if event.call in self._calls:
            raise ValueError(f"call {event.call}: it is already held")
        if not 0 <= event.kind < len(state.settings.classes):
            raise ValueError(f"call {event.call}: unknown class {event.kind}")
        kind = state.settings.classes[event.kind]
        margin = int(ANSWER_MARGIN * state.settings.answer_slack_us)
        deadline = state.now + max(event.patience_us - margin, 0)
        since = self._first_try(event, kind)
        rank = self._rank(kind, event.tenant, late=state.now >= since + kind.aim_us)
        call = Call(
            event.call, kind, rank, deadline, event.first_choice, self._next_token, event.number, since,
            event.route,
        )  # fmt: skip
        call.hold_until = min(state.now + int(HOLD * kind.aim_us), deadline)
        self._next_token += 1
        state.arrivals += 1
        self._calls[call.name] = call
        self._tokens[call.token] = call.name
        for pool in state.pools.values():
            if pool.cell == call.first_choice:
                pool.offered += 1
        self._place(call)

    def _rank(self, kind: api.CallClass, tenant: int, late: bool = False) -> int:
        """0 is refused first, 2 last: by worth against the mean, and by the tenant's part of own traffic.

        A redial that comes after its aim can earn no more than the late worth: first tries go before it."""
        worth = kind.worth * (kind.late_worth if late else 1)
        if 0 <= tenant < len(self._share_left):
            left = self._share_left
            for number, share in enumerate(self._state.settings.tenants):
                left[number] = min(left[number] + SHARE_SLACK * share.fraction, SHARE_DEPTH)
            if left[tenant] < 1:
                worth *= self._state.settings.over_share_worth
            else:
                left[tenant] -= 1
        rank = sum(worth >= step * self._mean_worth for step in RANK_STEPS)
        self._mean_worth += WORTH_GAIN * (kind.worth - self._mean_worth)
        return rank

    def _first_try(self, event: api.CallArrived, kind: api.CallClass) -> int:
        """When the caller first tried: a number that went unserved here and is dialled again is a redial.

        Each unserved call explains one later call at most, so that a popular number is not all redials."""
        state = self._state
        first = self._unserved.pop((event.number, kind), state.now)
        known = event.number and (event.redialled or not state.settings.marks_redials)
        return first if known and not event.was_cut and state.now < first + kind.deadline_us else state.now

    def stands(self, event: api.CallStands) -> None:
        """An attempt was answered."""
        call = self._attempt_of(event.call, event.attempt, event.server)
        pool = self._state.pools.get(event.server)
        if pool is not None:
            pool.answered_sent = max(pool.answered_sent, pool.out.get(event.call, -1))
            health.heard(self._state, pool, event.setup_delay_us)
            pool.stood += 1
        if call.current_attempt == event.attempt:
            self._back(call)
            call.stands = call.answered = True

    def ended(self, event: api.AttemptEnded) -> None:
        """An attempt is over."""
        state = self._state
        call = self._attempt_of(event.call, event.attempt, event.server)
        pool = state.pools.get(event.server)
        call.unsettled -= 1
        was_out = call.current_attempt == event.attempt
        if was_out:
            self._back(call)
        if pool is not None:
            health.reported(state, event.server, event.report)
            if not event.is_connection_fault:
                health.judge(state, pool, event, call)
        if event.call_over:
            call.answered = True
        if event.ending in (Ending.TIMED_OUT, Ending.RESET, Ending.CANCELLED):
            call.release_at = state.now + state.settings.release_us
        if event.ending not in (Ending.FULL, Ending.UNREACHABLE, Ending.NOT_SENT):
            call.may_have_run = True
        if not call.answered and was_out:
            self._place(call)
        self._forget(call)

    def gone(self, name: str) -> None:
        """The caller left."""
        if (call := self._calls.get(name)) is not None:
            call.answered = True
            self._forget(call)

    def forget_unserved(self) -> None:
        """Drop callers that can't dial again in time any more."""
        longest = max(kind.deadline_us for kind in self._state.settings.classes)
        self._unserved = {key: at for key, at in self._unserved.items() if self._state.now < at + longest}

    def _attempt_of(self, name: str, attempt: int, server: str) -> Call:
        call = self._calls.get(name)
        if call is None or not 0 <= attempt < call.attempts:
            raise ValueError(f"call {name}: attempt {attempt} to {server} was never made")
        return call

    def _place(self, call: Call) -> None:
        """Send the call, or wait for its release time, or refuse it."""
        state = self._state
        tried = call.attempts >= state.settings.max_attempts or call.hopeless
        if state.now >= call.deadline or tried or call.sealed:
            self._answer(call, refuse=False)
            return
        if state.now < call.release_at:
            if call.release_at + USEFUL * START_BASE * state.aim < call.deadline:
                self._wake(call, call.release_at)
            else:
                self._answer(call, refuse=False)
            return
        pool = routes.choose(state, call)
        if pool is not None and self._send(call, pool):
            return
        route, ready = call.route, [p for p in state.pools.values() if p.state is PoolState.READY]
        if route is not None and ready and not any(routes.permits(route, pool) for pool in ready):
            self._answer(call, refuse=True)  # to wait would be for nothing
        elif state.now < call.hold_until:
            self._held[call.rank].append(call)
            self._wake(call, call.hold_until)
        else:
            self._answer(call, refuse=True)

    def release_held(self) -> None:
        """Put held calls to the gate again, best first; where one finds none open its rank waits on.

        Guards against refusing a bunch (redials after a cut, a short burst) that would fit within the aim.
        Harm: in a long overload every call that stands has waited, so the hold stays well inside the aim."""
        state = self._state
        for rank in (2, 1, 0):
            line, aside = self._held[rank], list[Call]()
            while line:
                call = line[0]
                if not call.answered and call.current_attempt < 0:
                    if rank <= state.shut_rank:  # a gate that is shut is shut for lower ranks too
                        break
                    pool = routes.choose(state, call)
                    if pool is None or not self._send(call, pool):
                        if call.route is None:
                            break
                        aside.append(call)  # its rules may leave it less than those behind it
                line.popleft()
            line.extendleft(reversed(aside))
        if any(self._held) and state.now >= self._pulse_at:
            self._pulse_at = state.now + int(PULSE * state.resend)
            state.actions.append(api.SetTimer(int(PULSE * state.resend), 1))

    def _wake(self, call: Call, at: int) -> None:
        call.due = at
        self._state.actions.append(api.SetTimer(max(at - self._state.now, 1), call.token))

    def timer(self, token: int) -> None:
        """A timer has come due."""
        state = self._state
        if token == 0:
            state.actions.append(api.Subscribe())
            return
        call = self._calls.get(self._tokens.get(token, ""))
        if call is None or call.answered or state.now < call.due:
            return
        if state.now >= call.deadline:
            self._answer(call, refuse=False)
        elif call.current_attempt >= 0:
            self._check(call)
        else:
            self._place(call)

    def _check(self, call: Call) -> None:
        """An attempt has waited long: is its pool silent, or is it lost alone? Then take it back in time.

        Set-ups are served in turn, so one that a later one has overtaken by far was lost, whatever the cause;
        a pool that answered nothing since is silent, and a call that was its trial leaves it if another gate
        is open (ordinary calls stay: most silences are stalls, and leaving wastes the work). Harm: a
        processor that serves some classes first; hence the wide margin of LOST_DELAYS."""
        state = self._state
        pool = state.pools[call.server]
        sent = pool.out[call.name]
        age = state.now - sent
        overtaken = pool.answered_sent > sent and age > LOST_DELAYS * (pool.base_us + pool.delay_us)
        silent = pool.heard_at < sent and 0 <= age - SILENT_AFTER * state.aim < LOST_AFTER * state.aim
        if silent:
            trial = pool.ejected
            health.eject(state, pool, TRIAL_GAP * state.aim)
            silent = trial and any(gate.is_open(state, other, call.rank) for other in state.pools.values())
        back = state.now + state.settings.release_us
        useful = call.kind.repeatable and call.deadline - back > USEFUL * pool.base_us
        if (silent or overtaken) and useful and state.settings.may_cancel:
            state.actions.append(api.CancelAttempt(call.name, call.current_attempt))
            call.hold_until = min(call.deadline, back + int(HOLD * call.kind.aim_us))
            self._wake(call, call.deadline)
        else:
            self._wake(call, min(call.deadline, state.now + int(LOST_AFTER * state.aim)))

    def _back(self, call: Call) -> None:
        """The attempt is no longer out."""
        pool = self._state.pools.get(call.server)
        if pool is not None:
            pool.out.pop(call.name, None)
        call.current_attempt = -1

    def _answer(self, call: Call, refuse: bool) -> None:
        """The one final answer."""
        state = self._state
        if call.current_attempt >= 0 and state.settings.may_cancel:
            state.actions.append(api.CancelAttempt(call.name, call.current_attempt))
        call.answered = True
        if call.number:
            self._unserved[call.number, call.kind] = call.wanted_since
        if refuse and not call.sealed:
            # Guards against redials that press shut gates; told at once, not by holding the answer back.
            wait = state.settings.stay_away_us(int(STAY_AWAY * state.aim))
            state.actions.append(api.Refuse(call.name, wait))
        else:
            state.actions.append(api.Fail(call.name))
        self._forget(call)

    def _forget(self, call: Call) -> None:
        if call.answered and call.unsettled == 0:
            self._calls.pop(call.name, None)
            self._tokens.pop(call.token, None)

    def _send(self, call: Call, pool: Pool) -> bool:
        """The only place where a set-up leaves."""
        state = self._state
        if not routes.is_allowed(state, call, pool):
            return False
        call.current_attempt, call.server, call.attempts = call.attempts, pool.server, call.attempts + 1
        call.unsettled += 1
        pool.out[call.name] = state.now
        pool.sends.append(state.now)
        pool.free -= 1
        pool.credit -= 1
        state.actions.append(api.SendSetUp(call.name, pool.server, call.deadline - state.now))
        self._wake(call, min(call.deadline, state.now + int(LOST_AFTER * state.aim)))
        return True
