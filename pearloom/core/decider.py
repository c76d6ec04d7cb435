"""Hosts the decision module for the exchange: its steps of time, and one event at a time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from pearloom import interface as api
from pearloom.core.calls import SetUpRequest
from pearloom.core.clock import Clock
from pearloom.core.logs import log_exception
from pearloom.core.routing import CallRoute
from pearloom.policy import Controller


def call_arrived_event(offer: SetUpRequest, way: CallRoute | None) -> api.CallArrived:
    """A new set-up as the decision module hears of it; `way`: what the fleet's routing rules said of it."""
    return api.CallArrived(
        call=offer.call,
        kind=offer.class_index,
        tenant=offer.tenant,
        patience_us=round(offer.patience_ms * 1000),
        first_choice=offer.first_choice,
        was_cut=offer.was_cut,
        number=offer.number,
        route=way.route if way is not None else None,
    )


class Decider:
    """One controller; `act` gets each of its actions in turn."""

    def __init__(
        self,
        clock: Clock,
        settings: api.Settings,
        seed: int,
        round_ms: float,
        act: Callable[[api.Action], None],
    ) -> None:
        """Nothing has happened."""
        self._clock, self._act = clock, act
        # The module sees time in steps, as on the simulator's wire: it takes what happened in one step as
        # one batch, and tells by that a dead processor from a single call that was cut.
        self._round_us = round(round_ms * 1000)
        self._controller = Controller(settings, seed)
        self._now_us = 0
        self._events: deque[api.Event] = deque()
        self._telling = False
        self.failed_decisions = 0  # events that the module choked on

    @property
    def ejected_count(self) -> int:
        """How many listed pools get single trials alone."""
        return self._controller.ejected_count

    @property
    def limits(self) -> dict[str, float]:
        """Set-ups that the gate of each listed pool allows out."""
        return self._controller.limits

    def due_ms(self, after_us: int) -> float:
        """When a timer that the module asks for is due.

        Guards against a timer that comes early for the module, which sees time in steps."""
        due_us = self._now_us + after_us
        return (due_us + -due_us % self._round_us) / 1000.0

    def handle_event(self, event: api.Event) -> None:
        """Hand the controller an event; what its actions bring about follows in turn, never inside."""
        self._events.append(event)
        if self._telling:
            return
        self._telling = True
        try:
            while self._events:
                self._decide(self._events.popleft())
        finally:
            self._telling = False

    def _step_us(self) -> int:
        now_us = round(self._clock.now_ms() * 1000)  # cut off, a timer would come a step early
        self._now_us = max(self._now_us, now_us - now_us % self._round_us)
        return self._now_us

    def _decide(self, event: api.Event) -> None:
        try:
            actions = self._controller.handle(self._step_us(), event)
        except Exception:
            # Guards against one call that the module chokes on: it is answered, and the others go on.
            self.failed_decisions += 1
            log_exception("decision_failed", what=type(event).__name__)
            actions = [api.Fail(event.call)] if isinstance(event, api.CallArrived) else []
        for action in actions:
            self._act(action)
