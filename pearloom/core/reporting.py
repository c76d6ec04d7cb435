"""How calls end, told to all that count it: operators' figures, counters, the log, and the fleet's rules."""

from __future__ import annotations

import logging
from collections.abc import Sequence

from pearloom import interface as api
from pearloom.core.calls import Call, SetUpRequest
from pearloom.core.clock import Clock
from pearloom.core.counters import Counters, Metrics
from pearloom.core.errors import AttemptError
from pearloom.core.logs import log_event
from pearloom.core.outcomes import CallOutcome
from pearloom.core.routing import CallRoute, Router
from pearloom.interface import Ending


class OutcomeReporter:
    """Nothing here changes a call."""

    def __init__(
        self, clock: Clock, counters: Counters, figures: Metrics, classes: Sequence[api.CallClass]
    ) -> None:
        """Nothing has ended."""
        self._clock, self.counters, self.figures = clock, counters, figures
        self._aims_us = [kind.aim_us for kind in classes]
        self.router: Router | None = None  # set where the fleet has routing rules

    def route_for(self, offer: SetUpRequest) -> CallRoute | None:
        """The way that the rules of this moment give a call, where there are any."""
        return self.router.route_for(offer) if self.router is not None else None

    def unseen(self, offer: SetUpRequest) -> None:
        """Refused before anything was decided of it."""
        self.counters.add("refused_unseen")
        self.figures.declined(offer.class_index)

    def refused(self, call: Call) -> None:
        """The final answer: not here, not now."""
        self.counters.add("refusals_out")
        self.figures.declined(call.request.class_index)
        self._tell(call, CallOutcome.REFUSED)

    def failed(self, call: Call) -> None:
        """The final answer: it came to nothing."""
        self.counters.add("failures_out")
        self.figures.aborted(call.request.class_index)
        self._tell(call, CallOutcome.FAILED)

    def stood(self, call: Call) -> None:
        """The final answer: it stands. One after the aim of its class has a line of where its time went."""
        self.counters.add("answers_out")
        self.figures.succeeded(call.request.class_index)
        now = self._clock.now_ms()
        took_ms = now - call.arrived_ms
        late = took_ms * 1000.0 > self._aims_us[call.request.class_index]
        if late:
            self.counters.add("answers_late")
            log_event(
                logging.INFO, "answer_late", call=call.request.call, server=call.server,
                attempts=call.attempts, ms=took_ms, last_attempt_ms=now - call.sent_ms,
                first_choice=call.request.first_choice,
            )  # fmt: skip
        self._tell(call, CallOutcome.LATE if late else CallOutcome.STOOD)

    def over(self, call: Call, ending: Ending) -> None:
        """A call that stood is over."""
        self._tell(call, CallOutcome.CUT if ending is Ending.RESET else CallOutcome.ENDED)

    def _tell(self, call: Call, end: CallOutcome) -> None:
        if self.router is not None and call.way is not None:
            self.router.record_outcome(
                call.way, call.request.class_index, end, self._clock.now_ms() - call.arrived_ms
            )

    def attempt(
        self, call: Call, attempt: int, ending: Ending, over: bool, error: AttemptError | None = None
    ) -> api.AttemptEnded:
        """An attempt's end, as the decision module hears of it."""
        return api.AttemptEnded(
            call=call.request.call,
            attempt=attempt,
            server=call.server,
            ending=ending,
            took_us=round((self._clock.now_ms() - call.sent_ms) * 1000),
            call_over=over,
            processor_full=error is not None and error.processor_full,
            no_line=error is not None and error.no_line,
            is_connection_fault=error is not None and error.line_only,
        )
