"""The only meeting place of callers and session servers: calls, attempts, timers, and the controller.

It knows no protocol and no socket. Either side calls it with what happened and is called with what to do;
every choice is the decision module's. Nothing here blocks.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator, Mapping, Sequence
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
from pearloom.core.logs import log_event
from pearloom.core.pending_limit import PendingLimit
from pearloom.core.recent import RecentIds
from pearloom.core.reporting import OutcomeReporter
from pearloom.core.timers import Timers
from pearloom.interface import Ending

# Q.850 causes, the words in which all telephone protocols say why a call is over.
CAUSE_NORMAL = 16
CAUSE_CUT = 41
REMEMBERED = 20_000  # calls of this life that are over, at most
REMEMBERED_MS = 60_000.0  # for so long: a memory that grows all day is one that runs out
FULL_STAY_AWAY_US = 1_000_000
# Added to the module's wait after doubt: a release reaches a far server later than the next set-up reaches a
# near one, so the wait must hold at the servers too.
RELEASE_MARGIN_US = 60_000


class Exchange:
    """Hosts one controller; turns what happens into its events and its actions into deeds."""

    def __init__(
        self,
        clock: Clock,
        settings: api.Settings,
        seed: int,
        counters: Counters,
        figures: Metrics,
        round_ms: float,
        memory_mb: float,
    ) -> None:
        """Start with no call and no list."""
        settings = replace(settings, release_us=settings.release_us + RELEASE_MARGIN_US)
        self._clock, self._counters, self._figures = clock, counters, figures
        self.stay_away_ms = settings.stay_away_us(FULL_STAY_AWAY_US) / 1000.0  # told where there is no room
        self.reporter = OutcomeReporter(clock, counters, figures, settings.classes)
        self.decider = Decider(clock, settings, seed, round_ms, self._act)
        self._tell = self.decider.handle_event
        self._calls: dict[str, Call] = {}
        self._standing = EstablishedCalls()
        self._over = RecentIds(REMEMBERED, REMEMBERED_MS)
        self._backlog = PendingLimit(memory_mb)
        self._timers = Timers()
        self.open_elsewhere: set[str] = set()  # open at the other process of an upgrade
        self._callers: CallerSide
        self._servers: ServerSide

    def attach(self, callers: CallerSide, servers: ServerSide) -> None:
        """Join both sides."""
        self._callers, self._servers = callers, servers

    # --- what is here ---------------------------------------------------------------------------------------
    @property
    def open_calls(self) -> int:
        """Calls that are owed an answer."""
        return self._backlog.count

    @property
    def established_calls(self) -> int:
        """Calls that stand."""
        return len(self._standing)

    def metrics_text(self) -> str:
        """What operators read; a call is outstanding until it is over, not just until it stands."""
        return self._figures.text(
            outstanding=self.open_calls + self.established_calls,
            discovered=self._servers.discovered,
            ejected=self.decider.ejected_count,
        )

    def established_at(self, server: str) -> int:
        """Calls that stand at this server."""
        return len(self._standing.at(server))

    def is_established_at(self, server: str, call: str) -> bool:
        """Does this call stand there?"""
        return call in self._standing.at(server)

    def list_established(self) -> Iterator[tuple[str, str, str, float]]:
        """Each call that stands: its id, its server, the number called, since when."""
        return self._standing.listed()

    def open_ids(self) -> set[str]:
        """The calls that are owed an answer."""
        return {name for name, call in self._calls.items() if not call.answered}

    def inherit(self, name: str, server: str, number: str, stood_ms: float) -> bool:
        """A call stands that the process before this one set up; False where it is known here."""
        if name in self._calls or name in self._over:
            return False
        call = Call(
            SetUpRequest(name, -1, "", number, b"", 0.0, -1), NullCaller(), server=server, stood_ms=stood_ms
        )
        call.answered = call.stands = True
        self._calls[name] = call
        self._standing.put(call)
        return True

    def end_established(self, name: str) -> None:
        """The other process of an upgrade has dealt with the end of this standing call."""
        if self.is_established(name):
            self._ended(self._calls[name], Ending.ENDED)

    def is_established(self, name: str) -> bool:
        """Does this call stand?"""
        call = self._calls.get(name)
        return call is not None and call.stands

    def callers_of_established(self) -> Iterator[Caller]:
        """Who brought the calls that stand, at each server the youngest call first."""
        return self._standing.callers()

    def has_call(self, call: str) -> bool:
        """Is this call held here, unanswered or standing?"""
        return call in self._calls

    def is_recently_ended(self, call: str) -> bool:
        """Was this call here not long ago?"""
        return call in self._over

    # --- from the callers -----------------------------------------------------------------------------------
    def handle_set_up(self, offer: SetUpRequest, caller: Caller) -> None:
        """A new set-up."""
        self._counters.add("set_ups_in")
        # Guards also against set-ups behind a close that is not read yet: nothing would ever end them.
        if not self._backlog.has_room(offer) or not caller.is_connected:
            self._refuse_unseen(offer, caller)
            return
        way = self.reporter.route_for(offer)
        self._calls[offer.call] = Call(offer, caller, arrived_ms=self._clock.now_ms(), way=way)
        self._backlog.add(offer)
        self._tell(call_arrived_event(offer, way))

    def refuse_set_up(self, offer: SetUpRequest, caller: Caller) -> None:
        """A new set-up that the callers' side has no room for; nothing is decided of the call."""
        self._counters.add("set_ups_in")
        self._refuse_unseen(offer, caller)

    def _refuse_unseen(self, offer: SetUpRequest, caller: Caller) -> None:
        self.reporter.unseen(offer)
        caller.send_refusal(offer.call, self.stay_away_ms)

    def refuse_unanswered(self) -> None:
        """Turn away every set-up that has no answer yet: this process is about to end."""
        for call in [call for call in self._calls.values() if not call.answered]:
            self._turn_away(call)

    def handle_caller_eof(self, name: str) -> None:
        """The caller of a set-up sends no more: the attempt that is out may end, another does not begin.

        A close and a half-close look alike here, and one that has closed must cost no server any work."""
        call = self._calls.get(name)
        if call is not None and not call.answered and call.current < 0:
            self._turn_away(call)

    def may_send(self, name: str, attempt: int) -> bool:
        """Asked right before the first byte of an attempt leaves; the attempt is withdrawn where it may not.

        Guards against attempts for callers that left, or whose time ran out, while the attempt waited for a
        connection to come up or to take bytes, or while this process stood still."""
        call = self._calls.get(name)
        if call is None or call.answered or call.current != attempt:
            return False
        if self._clock.now_ms() >= call.sent_ms + call.timeout_ms:
            self._give_up(call, Ending.TIMED_OUT)
            return False
        if not call.caller.is_connected:
            self._turn_away(call)
            return False
        return True

    def _turn_away(self, call: Call) -> None:
        """Refuse a set-up for a reason of which the decision module knows nothing."""
        name = call.request.call
        self.reporter.refused(call)
        self._drop(name, call)
        call.caller.send_refusal(name, self.stay_away_ms)

    def abort_set_up(self, name: str) -> None:
        """Fail a set-up that its caller made unusable."""
        call = self._calls.get(name)
        if call is not None and not call.answered:
            self.reporter.failed(call)
            self._drop(name, call)

    def _drop(self, name: str, call: Call) -> None:
        """End a call that the decision module did not answer, and its attempt."""
        self._close(call)
        self._tell(api.CallGone(name))
        self._give_up(call, Ending.CANCELLED)
        self._forget(call)

    def handle_caller_release(self, name: str, cause: int) -> None:
        """The caller gave its set-up up, or released its standing call, or can't be reached any more."""
        call = self._calls.get(name)
        if call is None:
            if name not in self._over:
                # A call that stood before a restart: only the servers can know where.
                self._servers.release(None, name, "unknown", cause)
                self._remember(name)
        elif call.stands:
            self._counters.add("released_by_caller")
            self._servers.release(call.server, name, call.request.number, cause)
            self._ended(call, Ending.CANCELLED)
        elif not call.answered:
            self._counters.add("given_up_by_caller")
            self._drop(name, call)

    # --- from the session servers ---------------------------------------------------------------------------
    def handle_answer(self, name: str, attempt: int, description: bytes) -> bool:
        """The attempt was answered; False where the call does not want it any more."""
        call = self._calls.get(name)
        if call is None or call.current != attempt or call.answered:
            return False
        now = self._clock.now_ms()
        call.current, call.stands, call.stood_ms = -1, True, now
        self._close(call)
        self._standing.put(call)
        self.reporter.stood(call)
        # The module hears of it first: a caller that can't be told any more ends the call at once.
        self._tell(api.CallStands(name, attempt, call.server, round((now - call.sent_ms) * 1000)))
        call.caller.send_answer(name, description)
        return True

    def attempt_ended(self, name: str, attempt: int, error: AttemptError) -> None:
        """The attempt ended without an answer."""
        call = self._calls.get(name)
        if call is not None and call.current == attempt:
            # What was given up ended as that, unless the server itself said otherwise in the meantime.
            given_up, call.given_up = call.given_up, None
            self._settle(
                call, given_up if given_up and error.ending is None else error.implied_ending(), error
            )

    def handle_server_release(self, server: str, name: str, cause: int) -> None:
        """A session server released a call."""
        call = self._calls.get(name)
        if call is not None and call.stands and call.server == server:
            self._counters.add("released_by_server")
            self._ended(call, Ending.ENDED if cause == CAUSE_NORMAL else Ending.RESET)
            self._callers.release(name, cause, call.caller)
        elif call is None and name not in self._over:
            # Guards against a standing call that a restart of this process forgot: its caller still waits.
            self._counters.add("released_unknown")
            self._remember(name)
            self._callers.release(name, cause, None)

    def relay_caller_media(self, name: str, media: Media) -> None:
        """Pass what a caller says on to the server at which its call stands."""
        call = self._calls.get(name)
        if call is not None and call.stands:
            self._servers.send_media(call.server, name, media)

    def relay_server_media(self, server: str, name: str, media: Media) -> None:
        """Pass what a server says on to the caller, if the call stands there."""
        call = self._calls.get(name)
        if call is not None and call.stands and call.server == server:
            call.caller.send_media(name, media)

    def count_forwarded(self) -> None:
        """The last byte of an attempt was written."""
        self._figures.forwarded()

    def handle_server_report(self, server: str, report: Mapping[str, float]) -> None:
        """A session server told how many lines are free."""
        self._counters.add("reports_in")
        self._tell(api.PoolReport(server, Ending.ENDED, 0, report))

    def handle_server_loss(self, server: str, before_ms: float, reason: str) -> None:
        """A server is dead, or silent for too long: what stood there before that time is cut."""
        cut = [call for call in self._standing.at(server).values() if call.stood_ms < before_ms]
        if not cut:
            return
        log_event(logging.WARNING, "server_lost", server=server, reason=reason, calls_cut=len(cut))
        for call in cut:
            self._counters.add("cut_with_server")
            self._callers.release(call.request.call, CAUSE_CUT, call.caller)
            self._ended(call, Ending.RESET)

    # --- from the coordinator -------------------------------------------------------------------------------
    def handle_pool_list(self, kind: api.ListKind, servers: Sequence[Server]) -> None:
        """The pool list, or changes to it."""
        self._servers.update_servers(servers, whole=kind is not api.ListKind.CHANGES)
        self._tell(api.PoolList(kind, tuple(server.entry for server in servers)))
        # Guards against a set-up that is queued or half dialled when its server drains. The module knows the
        # new list by now, so none of these goes back there.
        self._servers.withdraw_unsent()

    # --- timers ---------------------------------------------------------------------------------------------
    def after_ms(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Do something later."""
        self._timers.at_ms(self._clock.now_ms() + delay_ms, action)

    def run_due(self) -> None:
        """Do what is due."""
        self._timers.run_due(self._clock.now_ms)

    # --- the controller -------------------------------------------------------------------------------------
    def _act(self, action: api.Action) -> None:
        match action:
            case api.SetTimer(after_us, token):
                self._timers.at_ms(self.decider.due_ms(after_us), lambda: self._tell(api.TimerDue(token)))
            case api.SendSetUp(name, server, timeout_us):
                self._send(name, server, timeout_us)
            case api.Refuse(name, wait_us):
                if (call := self._answered(name)) is not None:
                    self.reporter.refused(call)
                    call.caller.send_refusal(name, wait_us / 1000.0)
            case api.Fail(name):
                if (call := self._answered(name)) is not None:
                    self.reporter.failed(call)
                    call.caller.send_failure(name)
            case api.CancelAttempt(name, attempt):
                call = self._calls.get(name)
                if call is not None:
                    self._give_up(call, Ending.CANCELLED, attempt)
            case api.Note(text):
                log_event(logging.INFO, "decision_note", text=text)
            case _:
                # Probes, messages to peers and list requests have no place on this network.
                log_event(logging.WARNING, "action_skipped", action=type(action).__name__)

    def _send(self, name: str, server: str, timeout_us: int) -> None:
        call = self._calls[name]
        attempt = call.attempts
        call.attempts += 1
        call.current, call.server, call.sent_ms = attempt, server, self._clock.now_ms()
        call.timeout_ms = timeout_us / 1000.0
        self._counters.add("attempts")
        self.after_ms(call.timeout_ms, lambda: self._give_up(call, Ending.TIMED_OUT, attempt))
        self._servers.set_up(server, SetUpAttempt(call.request, attempt, call.timeout_ms))

    def _answered(self, name: str) -> Call | None:
        """The call that is answered with this, or None.

        Guards against a second final answer, and one after the caller gave up."""
        if (call := self._calls.get(name)) is None or call.answered:
            return None
        self._close(call)
        self._forget(call)
        return call

    # --- ends -----------------------------------------------------------------------------------------------
    def _give_up(self, call: Call, ending: Ending, attempt: int | None = None) -> None:
        """End the attempt that is out, if any; with a number, only that one."""
        if call.current < 0 or call.given_up is not None or attempt not in (None, call.current):
            return
        progress = self._servers.give_up(call.server, call.request.call)
        if progress is None:
            call.given_up = ending  # the module answers the call at its deadline, whatever the server says
            return
        self._settle(call, ending if progress >= Progress.PARTLY_SENT else Ending.NOT_SENT)

    def _settle(self, call: Call, ending: Ending, error: AttemptError | None = None) -> None:
        """The one end of an attempt that did not stand."""
        attempt, call.current = call.current, -1
        self._counters.add(f"attempts_{ending.name.lower()}")
        event = self.reporter.attempt(call, attempt, ending, call.answered, error)
        self._forget(call)
        self._tell(event)

    def _ended(self, call: Call, ending: Ending) -> None:
        """A call that stood is over."""
        self._standing.drop(call)
        call.stands = False
        self.reporter.over(call, ending)
        self._forget(call)
        if call.attempts:  # an inherited call is one of which the module has never heard
            self._tell(self.reporter.attempt(call, call.attempts - 1, ending, over=True))

    def _close(self, call: Call) -> None:
        """No answer is owed any more, nor is the description needed."""
        call.answered = True
        self._backlog.remove(call.request)

    def _forget(self, call: Call) -> None:
        if call.answered and not call.stands and call.current < 0:
            self._calls.pop(call.request.call, None)
            self._remember(call.request.call)

    def _remember(self, name: str) -> None:
        """Keep the id of a call that is over, so that a late release of it goes to nobody."""
        self._over.add(name, self._clock.now_ms())
