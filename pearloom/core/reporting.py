"""Reports how calls end to the operators' metrics, the counters, the log and the fleet's routing rules."""

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
    """Reports each outcome where it is counted; changes no call."""

    def __init__(
        self, clock: Clock, counters: Counters, metrics: Metrics, classes: Sequence[api.CallClass]
    ) -> None:
        """Start without a router."""
        self._clock, self.counters, self.metrics = clock, counters, metrics
        self._aims_us = [call_class.aim_us for call_class in classes]
        self.router: Router | None = None  # set where the fleet has routing rules

    def route_for(self, request: SetUpRequest) -> CallRoute | None:
        """Return the route that the rules in force give a call, or None where there are no rules."""
        return self.router.route_for(request) if self.router is not None else None

    def report_unregistered(self, request: SetUpRequest) -> None:
        """Count a set-up that was refused before the decision module received it."""
        self.counters.add("refused_unseen")
        self.metrics.count_declined(request.class_index)

    def report_refused(self, call: Call) -> None:
        """Report that the final answer was a refusal."""
        self.counters.add("refusals_out")
        self.metrics.count_declined(call.request.class_index)
        self._report_to_router(call, CallOutcome.REFUSED)

    def report_failed(self, call: Call) -> None:
        """Report that the final answer was a failure."""
        self.counters.add("failures_out")
        self.metrics.count_aborted(call.request.class_index)
        self._report_to_router(call, CallOutcome.FAILED)

    def report_answered(self, call: Call) -> None:
        """Report that the call was established; log the times of an answer after the aim of its class."""
        self.counters.add("answers_out")
        self.metrics.count_succeeded(call.request.class_index)
        now = self._clock.now_ms()
        took_ms = now - call.arrived_ms
        is_late = took_ms * 1000.0 > self._aims_us[call.request.class_index]
        if is_late:
            self.counters.add("answers_late")
            log_event(
                logging.INFO, "answer_late", call=call.request.call, server=call.server,
                attempts=call.attempts, ms=took_ms, last_attempt_ms=now - call.sent_ms,
                first_choice=call.request.first_choice,
            )  # fmt: skip
        self._report_to_router(call, CallOutcome.LATE if is_late else CallOutcome.STOOD)

    def report_ended(self, call: Call, ending: Ending) -> None:
        """Report the end of an established call."""
        self._report_to_router(call, CallOutcome.CUT if ending is Ending.RESET else CallOutcome.ENDED)

    def _report_to_router(self, call: Call, outcome: CallOutcome) -> None:
        if self.router is not None and call.call_route is not None:
            self.router.record_outcome(
                call.call_route, call.request.class_index, outcome, self._clock.now_ms() - call.arrived_ms
            )

    def attempt_event(
        self, call: Call, attempt: int, ending: Ending, call_over: bool, error: AttemptError | None = None
    ) -> api.AttemptEnded:
        """Return the end of an attempt as an event for the decision module."""
        return api.AttemptEnded(
            call=call.request.call,
            attempt=attempt,
            server=call.server,
            ending=ending,
            took_us=round((self._clock.now_ms() - call.sent_ms) * 1000),
            call_over=call_over,
            processor_full=error is not None and error.processor_full,
            no_line=error is not None and error.no_line,
            is_connection_fault=error is not None and error.is_connection_fault,
        )
