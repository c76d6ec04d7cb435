"""The life of a call: sent, held until a gate opens, supervised until a server answers, answered once."""

from collections import deque

from pearloom import interface as api
from pearloom.interface import Ending, PoolState
from pearloom.policy import gate, health, routes
from pearloom.policy.state import FIRST_TRIAL_GAP, INITIAL_BASE_DELAY, Call, Pool, State

WORTH_GAIN = 0.01  # weight of one call in the mean worth offered
RANK_STEPS = (0.5, 1.25)  # times the mean worth: below the first rank 0, from the second on rank 2
SHARE_SLACK = 1.1  # times the tenant's fraction: the local mix of calls is a small sample
SHARE_BURST = 8.0  # calls by which a tenant may exceed its fraction
HOLD_TIME = 0.5  # of the aim: how long a call may be held for a gate to open; the rest is for the set-up
STAY_AWAY = 1.0  # of the aim: time a refused caller is asked to stay away; sooner the gates are still closed
HELD_RETRY = 0.1  # of the resend gap: how often held calls are tried when nothing else happens
SILENT_AFTER = 0.5  # of the aim: an attempt unanswered so long, without another answer since, is silence
CHECK_INTERVAL = 0.25  # of the aim: how often an attempt that waits for an answer is checked
LOST_DELAYS = 3.0  # times the delay: an overtaken attempt older than this is lost
MIN_USEFUL_TIME = 1.5  # times the base delay: with less time left, a further attempt is useless
MAX_UNSERVED = 10_000  # calls whose redials are recognized; callers choose the numbers
ANSWER_MARGIN = 0.5  # of the answer slack: the final answer is sent so long before the caller's patience ends


class Calls:
    """All calls from their arrival until the final answer is given and the attempts are settled."""

    def __init__(self, state: State) -> None:
        """Start without calls."""
        self._state = state
        self._calls: dict[str, Call] = {}
        self._tokens: dict[int, str] = {}
        self._next_token = 2  # 0: subscribe to the list again; 1: retry held calls
        self._held: tuple[deque[Call], ...] = (deque(), deque(), deque())  # by rank
        self._held_retry_at = -1
        self._mean_worth = min(call_class.worth for call_class in state.settings.classes)  # of most calls
        self._share_credit = [SHARE_BURST] * len(state.settings.tenants)
        self._unserved: dict[tuple[str, api.CallClass], int] = {}  # value: arrival of the first try

    def on_arrival(self, event: api.CallArrived) -> None:
        """Handle a new call, which needs one final answer."""
        state = self._state
        if event.call in self._calls:
            raise ValueError(f"call {event.call}: arrived already")
        if not 0 <= event.kind < len(state.settings.classes):
            raise ValueError(f"call {event.call}: unknown class {event.kind}")
        call_class = state.settings.classes[event.kind]
        margin = int(ANSWER_MARGIN * state.settings.answer_slack_us)
        deadline = state.now + max(event.patience_us - margin, 0)
        first_tried_at = self._first_tried_at(event, call_class)
        rank = self._rank(call_class, event.tenant, is_late=state.now >= first_tried_at + call_class.aim_us)
        call = Call(event.call, call_class, rank, deadline, event.first_choice, self._next_token,
                    event.number, first_tried_at, event.route)  # fmt: skip
        call.hold_until = min(state.now + int(HOLD_TIME * call_class.aim_us), deadline)
        self._next_token += 1
        state.arrivals += 1
        self._calls[call.name] = call
        self._tokens[call.token] = call.name
        for pool in state.pools.values():
            if pool.cell == call.first_choice:
                pool.offered += 1
        self._route(call)

    def _rank(self, call_class: api.CallClass, tenant: int, is_late: bool = False) -> int:
        """Rank by worth against the mean and by the tenant's part of local calls; 0 is refused first, 2 last.

        A redial after its aim can earn the late worth at most, so first tries are served before it."""
        worth = call_class.worth * (call_class.late_worth if is_late else 1)
        if 0 <= tenant < len(self._share_credit):
            credit = self._share_credit
            for number, share in enumerate(self._state.settings.tenants):
                credit[number] = min(credit[number] + SHARE_SLACK * share.fraction, SHARE_BURST)
            if credit[tenant] < 1:
                worth *= self._state.settings.over_share_worth
            else:
                credit[tenant] -= 1
        rank = sum(worth >= step * self._mean_worth for step in RANK_STEPS)
        self._mean_worth += WORTH_GAIN * (call_class.worth - self._mean_worth)
        return rank

    def _first_tried_at(self, event: api.CallArrived, call_class: api.CallClass) -> int:
        """Arrival of the caller's first try: a call to a number that was not served here before is a redial.

        Each unserved call explains one later call at most, so that a popular number is not all redials."""
        state = self._state
        first = self._unserved.pop((event.number, call_class), state.now)
        redial = event.number and (event.redialled or not state.settings.marks_redials)
        return (first if redial and not event.was_cut and state.now < first + call_class.deadline_us
                else state.now)  # fmt: skip

    def on_answer(self, event: api.CallStands) -> None:
        """Handle the answer to an attempt."""
        call = self._attempt_of(event.call, event.attempt, event.server)
        pool = self._state.pools.get(event.server)
        if pool is not None:
            pool.answered_sent_at = max(pool.answered_sent_at, pool.outstanding.get(event.call, -1))
            health.record_answer(self._state, pool, event.setup_delay_us)
            pool.established += 1
        if call.current_attempt == event.attempt:
            self._clear_attempt(call)
            call.is_established = call.is_decided = True

    def on_attempt_ended(self, event: api.AttemptEnded) -> None:
        """Handle the end of an attempt."""
        state = self._state
        call = self._attempt_of(event.call, event.attempt, event.server)
        pool = state.pools.get(event.server)
        call.unsettled_attempts -= 1
        was_current = call.current_attempt == event.attempt
        if was_current:
            self._clear_attempt(call)
        if pool is not None:
            health.record_report(state, event.server, event.report)
            if not event.is_connection_fault:
                health.record_ending(state, pool, event, call)
        if event.call_over:
            call.is_decided = True
        if event.ending in (Ending.TIMED_OUT, Ending.RESET, Ending.CANCELLED):
            call.release_at = state.now + state.settings.release_us
        if event.ending not in (Ending.FULL, Ending.UNREACHABLE, Ending.NOT_SENT):
            call.may_have_run = True
        if not call.is_decided and was_current:
            self._route(call)
        self._drop_if_settled(call)

    def on_caller_gone(self, name: str) -> None:
        """Handle a caller that left."""
        if (call := self._calls.get(name)) is not None:
            call.is_decided = True
            self._drop_if_settled(call)

    def forget_unserved(self) -> None:
        """Drop unserved calls whose callers can no longer redial in time."""
        longest = max(call_class.deadline_us for call_class in self._state.settings.classes)
        self._unserved = {key: at for key, at in self._unserved.items() if self._state.now < at + longest}

    def _attempt_of(self, name: str, attempt: int, server: str) -> Call:
        call = self._calls.get(name)
        if call is None or not 0 <= attempt < call.attempts:
            raise ValueError(f"call {name}: attempt {attempt} to {server} was never made")
        return call

    def _route(self, call: Call) -> None:
        """Send the call, hold it, wait for its release time, or give its final answer."""
        state = self._state
        is_exhausted = call.attempts >= state.settings.max_attempts or call.failed_at_two
        if state.now >= call.deadline or is_exhausted or call.must_not_repeat:
            self._give_final_answer(call, refuse=False)
            return
        if state.now < call.release_at:
            if call.release_at + MIN_USEFUL_TIME * INITIAL_BASE_DELAY * state.aim < call.deadline:
                self._set_timer(call, call.release_at)
            else:
                self._give_final_answer(call, refuse=False)
            return
        pool = routes.choose(state, call)
        if pool is not None and self._send(call, pool):
            return
        route, ready = call.route, [p for p in state.pools.values() if p.state is PoolState.READY]
        if route is not None and ready and not any(routes.permits(route, pool) for pool in ready):
            self._give_final_answer(call, refuse=True)  # no gate can open for it
        elif state.now < call.hold_until:
            self._held[call.rank].append(call)
            self._set_timer(call, call.hold_until)
        else:
            self._give_final_answer(call, refuse=True)

    def retry_held(self) -> None:
        """Try to send held calls, highest rank first; a rank stops where its first call finds no open gate.

        Guards against refusing a burst (redials after a cut, a short peak) that can be served within the aim.
        Harm: in a long overload every established call has waited; the hold time stays well below the aim."""
        state = self._state
        for rank in (2, 1, 0):
            queue, skipped = self._held[rank], list[Call]()
            while queue:
                call = queue[0]
                if not call.is_decided and call.current_attempt < 0:
                    if rank <= state.closed_rank:  # a gate that is closed is closed to lower ranks too
                        break
                    pool = routes.choose(state, call)
                    if pool is None or not self._send(call, pool):
                        if call.route is None:
                            break
                        skipped.append(call)  # its routing rules may permit fewer pools than others'
                queue.popleft()
            queue.extendleft(reversed(skipped))
        if any(self._held) and state.now >= self._held_retry_at:
            self._held_retry_at = state.now + int(HELD_RETRY * state.resend_gap)
            state.actions.append(api.SetTimer(int(HELD_RETRY * state.resend_gap), 1))

    def _set_timer(self, call: Call, at: int) -> None:
        call.due_at = at
        self._state.actions.append(api.SetTimer(max(at - self._state.now, 1), call.token))

    def on_timer(self, token: int) -> None:
        """Handle an expired timer."""
        state = self._state
        if token == 0:
            state.actions.append(api.Subscribe())
            return
        call = self._calls.get(self._tokens.get(token, ""))
        if call is None or call.is_decided or state.now < call.due_at:
            return
        if state.now >= call.deadline:
            self._give_final_answer(call, refuse=False)
        elif call.current_attempt >= 0:
            self._check_attempt(call)
        else:
            self._route(call)

    def _check_attempt(self, call: Call) -> None:
        """Cancel an attempt, while there is time for another, if it was lost or its pool is silent.

        Servers handle set-ups in order, so one overtaken by much later ones was lost, whatever the cause. A
        pool without any answer since is silent: its trial call leaves if another gate is open; others stay,
        as most silences are stalls and leaving wastes the work done. Harm: a processor that handles some
        classes first; hence the wide margin of LOST_DELAYS."""
        state = self._state
        pool = state.pools[call.server]
        sent = pool.outstanding[call.name]
        age = state.now - sent
        lost = pool.answered_sent_at > sent and age > LOST_DELAYS * (pool.base_delay_us + pool.queuing_us)
        silent = pool.answered_at < sent and 0 <= age - SILENT_AFTER * state.aim < CHECK_INTERVAL * state.aim
        if silent:
            was_trial = pool.is_ejected
            health.eject(state, pool, FIRST_TRIAL_GAP * state.aim)
            silent = was_trial and any(gate.is_open(state, p, call.rank) for p in state.pools.values())
        next_at = state.now + state.settings.release_us  # earliest time of the next attempt
        useful = call.call_class.repeatable and call.deadline - next_at > MIN_USEFUL_TIME * pool.base_delay_us
        if (silent or lost) and useful and state.settings.may_cancel:
            state.actions.append(api.CancelAttempt(call.name, call.current_attempt))
            call.hold_until = min(call.deadline, next_at + int(HOLD_TIME * call.call_class.aim_us))
            self._set_timer(call, call.deadline)
        else:
            self._set_timer(call, min(call.deadline, state.now + int(CHECK_INTERVAL * state.aim)))

    def _clear_attempt(self, call: Call) -> None:
        """Clear the current attempt, which has its outcome."""
        if (pool := self._state.pools.get(call.server)) is not None:
            pool.outstanding.pop(call.name, None)
        call.current_attempt = -1

    def _give_final_answer(self, call: Call, refuse: bool) -> None:
        """Give the call its one final answer: refused, if it may be repeated, or failed."""
        state = self._state
        if call.current_attempt >= 0 and state.settings.may_cancel:
            state.actions.append(api.CancelAttempt(call.name, call.current_attempt))
        call.is_decided = True
        if call.called_number:
            self._unserved[call.called_number, call.call_class] = call.first_tried_at
            if len(self._unserved) > MAX_UNSERVED:
                del self._unserved[next(iter(self._unserved))]
        if refuse and not call.must_not_repeat:
            # Guards against redials that find the gates still closed; the answer itself is not held back.
            wait = state.settings.stay_away_us(int(STAY_AWAY * state.aim))
            state.actions.append(api.Refuse(call.name, wait))
        else:
            state.actions.append(api.Fail(call.name))
        self._drop_if_settled(call)

    def _drop_if_settled(self, call: Call) -> None:
        if call.is_decided and call.unsettled_attempts == 0:
            self._calls.pop(call.name, None)
            self._tokens.pop(call.token, None)

    def _send(self, call: Call, pool: Pool) -> bool:
        """Send the call's set-up to the pool if the rules allow it; no set-up is sent elsewhere."""
        state = self._state
        if not routes.is_allowed(state, call, pool):
            return False
        call.current_attempt, call.server, call.attempts = call.attempts, pool.server, call.attempts + 1
        call.unsettled_attempts += 1
        pool.outstanding[call.name] = state.now
        pool.sends.append(state.now)
        pool.free_lines -= 1
        pool.credit -= 1
        state.actions.append(api.SendSetUp(call.name, pool.server, call.deadline - state.now))
        self._set_timer(call, min(call.deadline, state.now + int(CHECK_INTERVAL * state.aim)))
        return True
