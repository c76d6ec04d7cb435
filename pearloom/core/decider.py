"""Hosts the decision module for the exchange: rounds the time to steps and hands over one event at a time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from pearloom import interface as api
from pearloom.core.calls import SetUpRequest
from pearloom.core.clock import Clock
from pearloom.core.logs import log_exception
from pearloom.core.routing import CallRoute
from pearloom.policy import Controller


def call_arrived_event(request: SetUpRequest, call_route: CallRoute | None) -> api.CallArrived:
    """Build the event of a new set-up; `call_route` is the result of the fleet's routing rules, if any."""
    return api.CallArrived(
        call=request.call,
        kind=request.class_index,
        tenant=request.tenant,
        patience_us=round(request.patience_ms * 1000),
        first_choice=request.first_choice,
        was_cut=request.was_cut,
        number=request.number,
        route=call_route.route if call_route is not None else None,
    )


class Decider:
    """Owns one controller and passes each of its actions to `on_action`."""

    def __init__(
        self,
        clock: Clock,
        settings: api.Settings,
        seed: int,
        round_ms: float,
        on_action: Callable[[api.Action], None],
    ) -> None:
        """Start a controller; `seed` is that of its random choices, `round_ms` the time step."""
        self._clock, self._on_action = clock, on_action
        # The module gets the time in steps, as on the simulator's wire: it treats events of the same step as
        # one batch, which is how it distinguishes a dead processor from a single call that was cut.
        self._round_us = round(round_ms * 1000)
        self._controller = Controller(settings, seed)
        self._now_us = 0
        self._events: deque[api.Event] = deque()
        self._is_handling = False
        self.failed_decisions = 0  # events that raised an exception in the controller

    @property
    def ejected_count(self) -> int:
        """Number of listed pools that are ejected and get single trials only."""
        return self._controller.ejected_count

    @property
    def limits(self) -> dict[str, float]:
        """Unanswered set-ups that the gate of each listed pool allows, by server."""
        return self._controller.limits

    def due_ms(self, after_us: int) -> float:
        """Return the clock reading, in ms, at which a timer that the controller asks for is due.

        Rounded up to a time step: earlier, the controller's own time would not have reached the timer yet."""
        due_us = self._now_us + after_us
        return (due_us + -due_us % self._round_us) / 1000.0

    def handle_event(self, event: api.Event) -> None:
        """Hand an event to the controller; events that its actions cause are queued and handled next."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._decide(self._events.popleft())
        finally:
            self._is_handling = False

    def _step_us(self) -> int:
        now_us = round(self._clock.now_ms() * 1000)  # rounded down, a timer would come one step early
        self._now_us = max(self._now_us, now_us - now_us % self._round_us)
        return self._now_us

    def _decide(self, event: api.Event) -> None:
        try:
            actions = self._controller.handle(self._step_us(), event)
        except Exception:
            # Guards against one call whose decision fails: that call is failed, and the others go on.
            self.failed_decisions += 1
            log_exception("decision_failed", what=type(event).__name__)
            actions = [api.Fail(event.call)] if isinstance(event, api.CallArrived) else []
        for action in actions:
            self._on_action(action)
