"""Connects callers with session servers: tracks calls, attempts and timers, and hosts the decision module.

The exchange knows no protocol and no socket. Each side reports events to it by method calls and receives
requests through `CallerSide` or `ServerSide`. The decision module makes every choice. No method blocks.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

from pearloom import interface as api
from pearloom.core.calls import (
    Call,
    Caller,
    CallerSide,
    Media,
    NullCaller,
    ServerSide,
    SetUpAttempt,
    SetUpRequest,
)
from pearloom.core.clock import Clock
from pearloom.core.config import Server
from pearloom.core.counters import Counters, Metrics
from pearloom.core.decider import Decider, call_arrived_event
from pearloom.core.errors import AttemptError, Progress
from pearloom.core.established import EstablishedCalls
from pearloom.core.finished_calls import FinishedCalls
from pearloom.core.logs import log_event
from pearloom.core.queue_budget import QueueBudget
from pearloom.core.reporting import OutcomeReporter
from pearloom.core.set_up_admission import SetUpAdmission
from pearloom.core.timers import Timers
from pearloom.core.unknown_releases import UnknownReleases
from pearloom.interface import Ending

CAUSE_NORMAL = 16  # Q.850 release causes, shared by all telephone protocols
CAUSE_CUT = 41
FULL_STAY_AWAY_US = 1_000_000  # for callers that are refused for lack of room
# Added to the module's wait after an attempt with an uncertain effect: a release reaches a distant server
# later than the next set-up reaches a near one, so the wait has to hold at the servers too.
RELEASE_MARGIN_US = 60_000


class Exchange:
    """Hosts one controller: passes events to it and carries out its actions."""

    def __init__(
        self, clock: Clock, settings: api.Settings, seed: int, counters: Counters, metrics: Metrics,
        round_ms: float, memory_mb: float,
    ) -> None:  # fmt: skip
        """Start without calls and without a pool list."""
        settings = replace(settings, release_us=settings.release_us + RELEASE_MARGIN_US)
        self._clock, self._counters, self._metrics = clock, counters, metrics
        self.stay_away_ms = settings.stay_away_us(FULL_STAY_AWAY_US) / 1000.0  # in refusals for lack of room
        self.reporter = OutcomeReporter(clock, counters, metrics, settings.classes)
        self.decider = Decider(clock, settings, seed, round_ms, self._execute)
        self._submit = self.decider.handle_event
        self._calls: dict[str, Call] = {}
        self.established = EstablishedCalls()
        self.finished = FinishedCalls(memory_mb)
        now = clock.now_ms()
        self._unknown_from_callers = UnknownReleases(self.finished, counters, now)
        self._unknown_from_servers = UnknownReleases(self.finished, counters, now)
        self.admission = SetUpAdmission(
            clock, counters, self.reporter, memory_mb, self.stay_away_ms, self._begin_set_up
        )
        self.queue_budget = QueueBudget(memory_mb)  # of both sides' connections
        self._timers = Timers()
        self._callers: CallerSide
        self._servers: ServerSide

    def attach(self, callers: CallerSide, servers: ServerSide) -> None:
        """Connect the callers' side and the servers' side; required before the first event."""
        self._callers, self._servers = callers, servers

    @property
    def open_calls(self) -> int:
        """Number of calls that have not received their final answer."""
        return self.admission.count

    @property
    def established_calls(self) -> int:
        """Number of established calls."""
        return len(self.established)

    def metrics_text(self) -> str:
        """Return the operators' metrics; a call counts as outstanding until it is released."""
        return self._metrics.text(
            outstanding=self.open_calls + self.established_calls, discovered=self._servers.discovered,
            ejected=self.decider.ejected_count,
        )  # fmt: skip

    def established_at(self, server: str) -> int:
        """Return the number of established calls at this server."""
        return len(self.established.at(server))

    def established_ms(self, server: str, call_id: str) -> float | None:
        """Return when this call was established at this server (Unix ms), or None if it is not."""
        return self.established.since_ms(server, call_id)

    def open_ids(self) -> set[str]:
        """Return the ids of the calls that have not received their final answer."""
        return {call_id for call_id, call in self._calls.items() if not call.answered}

    def inherit(self, call_id: str, server: str, number: str, established_ms: float) -> bool:
        """Add an established call of the previous process; return False if the id is known here."""
        if self.knows(call_id):
            return False
        call = Call(SetUpRequest(call_id, -1, "", number, b"", 0.0, -1), NullCaller(),
                    server=server, established_ms=established_ms)  # fmt: skip
        call.answered = call.is_established = True
        self._calls[call_id] = call
        self.established.add(call)
        return True

    def end_established(self, call_id: str) -> None:
        """End an established call whose release the other process of an upgrade has handled."""
        if self.is_established(call_id):
            self._finish_established(self._calls[call_id], Ending.ENDED)

    def is_established(self, call_id: str) -> bool:
        """Report whether this call is established."""
        return (call := self._calls.get(call_id)) is not None and call.is_established

    def has_call(self, call_id: str) -> bool:
        """Report whether this call is unanswered or established here."""
        return call_id in self._calls

    def knows(self, call_id: str) -> bool:
        """Report whether this call is known here, or ended within the time for which ids are kept."""
        return call_id in self._calls or call_id in self.finished or call_id in self.admission

    def handle_set_up(self, request: SetUpRequest, caller: Caller) -> None:
        """Accept a new set-up from a caller, or refuse it where it is not admitted."""
        self._counters.add("set_ups_in")
        self.admission.handle(request, caller)

    def _begin_set_up(self, request: SetUpRequest, caller: Caller) -> None:
        route = self.reporter.route_for(request)
        self._calls[request.call] = Call(request, caller, arrived_ms=self._clock.now_ms(), call_route=route)
        self._submit(call_arrived_event(request, route))

    def refuse_set_up(self, request: SetUpRequest, caller: Caller) -> None:
        """Refuse a new set-up for which the callers' side has no room, without the decision module."""
        self._counters.add("set_ups_in")
        self.admission.refuse(request, caller)

    def refuse_unanswered(self) -> None:
        """Refuse every set-up that has no answer yet, because this process is about to exit."""
        self.admission.refuse_waiting()
        for call in [call for call in self._calls.values() if not call.answered]:
            self._refuse(call)

    def handle_caller_eof(self, call_id: str) -> None:
        """Let the attempt in progress finish and start no other: the caller sends no more data.

        A close and a half-close look alike here, and a closed caller must not cause work at a server."""
        call = self._calls.get(call_id)
        if call is not None and not call.answered and call.current_attempt < 0:
            self._refuse(call)

    def may_send(self, call_id: str, attempt: int) -> bool:
        """Decide, right before the first byte of an attempt is sent, whether to send or to withdraw it.

        Guards against attempts for callers that left, or whose time ran out, while the attempt waited for a
        connection or for a peer to accept bytes, or while this process was suspended."""
        call = self._calls.get(call_id)
        if call is None or call.answered or call.current_attempt != attempt:
            return False
        if self._clock.now_ms() >= call.sent_ms + call.timeout_ms:
            self._abandon_attempt(call, Ending.TIMED_OUT)
            return False
        if not call.caller.is_connected:
            self._refuse(call)
            return False
        return True

    def _refuse(self, call: Call) -> None:
        """Refuse a set-up for a reason outside the decision module."""
        call_id = call.request.call
        self.reporter.report_refused(call)
        self._abort(call_id, call)
        call.caller.send_refusal(call_id, self.stay_away_ms)

    def abort_set_up(self, call_id: str) -> None:
        """Fail a set-up that its caller made unusable."""
        self.admission.withdraw(call_id)
        call = self._calls.get(call_id)
        if call is not None and not call.answered:
            self.reporter.report_failed(call)
            self._abort(call_id, call)

    def _abort(self, call_id: str, call: Call) -> None:
        """End a call that the decision module did not answer, together with its attempt."""
        self._mark_answered(call)
        self._submit(api.CallGone(call_id))
        self._abandon_attempt(call, Ending.CANCELLED)
        self._forget_if_finished(call)

    def handle_caller_release(self, call_id: str, cause: int) -> None:
        """End a call whose caller gave up, released it or can't be reached any more."""
        call = self._calls.get(call_id)
        if self.admission.withdraw(call_id):
            self._counters.add("given_up_by_caller")
        elif call is None:
            if self._unknown_from_callers.may_pass_on(call_id, self._clock.now_ms()):
                # A call established before a restart: only the servers know which of them holds it.
                self._servers.release(None, call_id, "unknown", cause)
        elif call.is_established:
            self._counters.add("released_by_caller")
            self._servers.release(call.server, call_id, call.request.number, cause)
            self._finish_established(call, Ending.CANCELLED)
        elif not call.answered:
            self._counters.add("given_up_by_caller")
            self._abort(call_id, call)

    def handle_answer(self, call_id: str, attempt: int, description: bytes) -> bool:
        """Establish the call that this attempt belongs to; return False if it no longer wants the answer."""
        call = self._calls.get(call_id)
        if call is None or call.current_attempt != attempt or call.answered:
            return False
        now = self._clock.now_ms()
        call.current_attempt, call.is_established, call.established_ms = -1, True, now
        self._mark_answered(call)
        self.established.add(call)
        self.reporter.report_answered(call)
        # The module comes first: a caller that can't be reached any more ends the call during `send_answer`.
        self._submit(api.CallStands(call_id, attempt, call.server, round((now - call.sent_ms) * 1000)))
        call.caller.send_answer(call_id, description)
        return True

    def attempt_ended(self, call_id: str, attempt: int, error: AttemptError) -> None:
        """End an attempt that was not answered."""
        call = self._calls.get(call_id)
        if call is not None and call.current_attempt == attempt:
            # An abandoned attempt ends as abandoned, unless the server itself reported another ending.
            abandoned, call.abandoned_as = call.abandoned_as, None
            self._finish_attempt(
                call, abandoned if abandoned and error.ending is None else error.implied_ending(), error
            )

    def handle_server_release(self, server: str, call_id: str, cause: int) -> None:
        """Handle a release that a session server sent, and pass it on to the caller."""
        call = self._calls.get(call_id)
        if call is not None and call.is_established and self._is_at(call, server):
            self._counters.add("released_by_server")
            self._finish_established(call, Ending.ENDED if cause == CAUSE_NORMAL else Ending.RESET)
            self._callers.release(call_id, cause, call.caller)
        elif call is None and self._unknown_from_servers.may_pass_on(call_id, self._clock.now_ms()):
            # Guards against a call lost in a restart of this process: its caller still waits for the release.
            self._counters.add("released_unknown")
            self._callers.release(call_id, cause, None)

    def _is_at(self, call: Call, server: str) -> bool:
        """Report whether a message of this server can be about an established call."""
        return call.server == server or self._servers.have_same_address(call.server, server)

    def relay_caller_media(self, call_id: str, media: Media) -> None:
        """Relay media from a caller to the server at which its call is established."""
        call = self._calls.get(call_id)
        if call is not None and call.is_established:
            self._servers.send_media(call.server, call_id, media)

    def relay_server_media(self, server: str, call_id: str, media: Media) -> None:
        """Relay media from a server to the caller if the call is established at this server."""
        call = self._calls.get(call_id)
        if call is not None and call.is_established and call.server == server:
            call.caller.send_media(call_id, media)

    def count_forwarded(self) -> None:
        """Count an attempt whose last byte was written."""
        self._metrics.count_forwarded()

    def handle_server_report(self, server: str, report: Mapping[str, float]) -> None:
        """Pass a session server's report of its free lines to the decision module."""
        self._counters.add("reports_in")
        self._submit(api.PoolReport(server, Ending.ENDED, 0, report))

    def move_established(self, server: str, successor: str, since_ms: float) -> None:
        """Give the calls established at a server since then to the server that has its address now."""
        if calls := self.established.move(server, successor, since_ms):
            log_event(logging.INFO, "calls_moved", server=server, successor=successor, calls=calls)

    def handle_server_loss(self, server: str, before_ms: float, reason: str) -> None:
        """Cut the calls established before `before_ms` (Unix ms) at a dead or silent server."""
        cut = [call for call in self.established.at(server).values() if call.established_ms < before_ms]
        if not cut:
            return
        log_event(logging.WARNING, "server_lost", server=server, reason=reason, calls_cut=len(cut))
        for call in cut:
            self._counters.add("cut_with_server")
            self._callers.release(call.request.call, CAUSE_CUT, call.caller)
            self._finish_established(call, Ending.RESET)

    def handle_pool_list(self, kind: api.ListKind, servers: Sequence[Server]) -> None:
        """Apply the pool list, or changes to it, that the coordinator sent."""
        self._servers.update_servers(servers, whole=kind is not api.ListKind.CHANGES)
        self._submit(api.PoolList(kind, tuple(server.entry for server in servers)))
        # Guards against a set-up that is queued or waits for a connection when its server starts to drain.
        # The module knows the new list by now, so it sends none of these there again.
        self._servers.withdraw_unsent()

    def after_ms(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action after this delay."""
        self._timers.at_ms(self._clock.now_ms() + delay_ms, action)

    def run_due(self) -> None:
        """Run the actions whose time has come."""
        self._timers.run_due(self._clock.now_ms)

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.SetTimer(after_us, token):
                self._timers.at_ms(self.decider.due_ms(after_us), lambda: self._submit(api.TimerDue(token)))
            case api.SendSetUp(call_id, server, timeout_us):
                self._start_attempt(call_id, server, timeout_us)
            case api.Refuse(call_id, wait_us):
                if (call := self._claim_unanswered(call_id)) is not None:
                    self.reporter.report_refused(call)
                    call.caller.send_refusal(call_id, wait_us / 1000.0)
            case api.Fail(call_id):
                if (call := self._claim_unanswered(call_id)) is not None:
                    self.reporter.report_failed(call)
                    call.caller.send_failure(call_id)
            case api.CancelAttempt(call_id, attempt):
                call = self._calls.get(call_id)
                if call is not None:
                    self._abandon_attempt(call, Ending.CANCELLED, attempt)
            case api.Note(text):
                log_event(logging.INFO, "decision_note", text=text)
            case _:
                # Probes, messages to peers and list requests are not supported on this network.
                log_event(logging.WARNING, "action_skipped", action=type(action).__name__)

    def _start_attempt(self, call_id: str, server: str, timeout_us: int) -> None:
        call = self._calls[call_id]
        attempt = call.attempts
        call.attempts += 1
        call.current_attempt, call.server, call.sent_ms = attempt, server, self._clock.now_ms()
        call.timeout_ms = timeout_us / 1000.0
        self._counters.add("attempts")
        self.after_ms(call.timeout_ms, lambda: self._abandon_attempt(call, Ending.TIMED_OUT, attempt))
        self._servers.set_up(server, SetUpAttempt(call.request, attempt, call.timeout_ms))

    def _claim_unanswered(self, call_id: str) -> Call | None:
        """Mark a call as answered and return it, or return None if there is nothing to answer.

        Guards against a second final answer, and against one after the caller gave up."""
        if (call := self._calls.get(call_id)) is None or call.answered:
            return None
        self._mark_answered(call)
        self._forget_if_finished(call)
        return call

    def _abandon_attempt(self, call: Call, ending: Ending, attempt: int | None = None) -> None:
        """End the attempt in progress, if any; where `attempt` is given, only if it is that one."""
        if (
            call.current_attempt < 0
            or call.abandoned_as is not None
            or attempt not in (None, call.current_attempt)
        ):
            return
        progress = self._servers.give_up(call.server, call.request.call)
        if progress is None:
            call.abandoned_as = ending  # the module answers at the call's deadline, whatever the server sends
            return
        self._finish_attempt(call, ending if progress >= Progress.PARTLY_SENT else Ending.NOT_SENT)

    def _finish_attempt(self, call: Call, ending: Ending, error: AttemptError | None = None) -> None:
        """Report the one ending of an attempt that was not answered."""
        attempt, call.current_attempt = call.current_attempt, -1
        self._counters.add(f"attempts_{ending.name.lower()}")
        event = self.reporter.attempt_event(call, attempt, ending, call.answered, error)
        self._forget_if_finished(call)
        self._submit(event)

    def _finish_established(self, call: Call, ending: Ending) -> None:
        """End an established call."""
        self.established.remove(call)
        call.is_established = False
        self.reporter.report_ended(call, ending)
        self._forget_if_finished(call)
        if call.attempts:  # the module does not know inherited calls, which have no attempts
            self._submit(self.reporter.attempt_event(call, call.attempts - 1, ending, call_over=True))

    def _mark_answered(self, call: Call) -> None:
        """Record that the call waits for no answer any more, and free its description."""
        call.answered = True
        self.admission.finish(call.request)

    def _forget_if_finished(self, call: Call) -> None:
        if call.answered and not call.is_established and call.current_attempt < 0:
            self._calls.pop(call.request.call, None)
            # An inherited call has a server and no attempt of this process.
            self.finished.add(call.request.call, bool(call.server), self._clock.now_ms())
