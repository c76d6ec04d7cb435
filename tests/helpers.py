"""Hand-written events for tests of the decision module, without any simulated server."""

from __future__ import annotations

from typing import Any

from pearloom import interface as api
from pearloom.policy import Controller

AIM = 1_000_000
A, B = "a:1", "b:1"


def settings(**changes: object) -> api.Settings:
    fields: dict[str, object] = {
        "classes": (
            api.CallClass(aim_us=AIM, deadline_us=6_000_000, worth=1, late_worth=0.2),
            api.CallClass(aim_us=AIM, deadline_us=6_000_000, worth=8),
        ),
        "fleet_size": 4,
        "answer_slack_us": 20_000,
        "cold_share": 0.3,
        "warm_after_us": 10_000_000,
        "fall_multiple": 2.5,
        "fall_us": 2_000_000,
        "release_us": 300_000,
        "resend_us": 400_000,
        "max_attempts": 5,
        "may_cancel": True,
    }
    return api.Settings(**(fields | changes))  # type: ignore[arg-type]


def entry(
    server: str, cell: int, state: api.PoolState = api.PoolState.READY, started: int = 0
) -> api.PoolEntry:
    return api.PoolEntry(server, cell, state, started)


class ControllerHost:
    """Hosts a controller in a test: keeps its time in microseconds and numbers the calls."""

    def __init__(self, *entries: api.PoolEntry, now: int = 100_000_000, **changes: object) -> None:
        self.controller = Controller(settings(**changes), 7)
        self.now = now
        self.count = 0
        self.handle_event(api.PoolList(api.ListKind.CACHED, entries or (entry(A, 0), entry(B, 1))))

    def handle_event(self, event: api.Event, after: int = 0) -> list[api.Action]:
        self.now += after
        return self.controller.handle(self.now, event)

    def call(
        self, first: int = 0, kind: int = 0, patience: int = 3_000_000, tenant: int = 0
    ) -> list[api.Action]:
        self.count += 1
        return self.handle_event(api.CallArrived(f"c{self.count}", kind, tenant, patience, first))

    def report_answer(
        self, number: int, server: str, delay: int = 50_000, attempt: int = 0
    ) -> list[api.Action]:
        return self.handle_event(api.CallStands(f"c{number}", attempt, server, delay))

    def report_end(
        self, number: int, server: str, ending: api.Ending, attempt: int = 0, after: int = 0, **more: object
    ) -> list[api.Action]:
        fields: dict[str, Any] = more
        return self.handle_event(api.AttemptEnded(f"c{number}", attempt, server, ending, **fields), after)

    def complete_open_calls(self) -> None:
        """Answer and end the calls with an attempt out; the callers of all others give up."""
        for name, call in list(self.controller._calls._calls.items()):
            if call.current_attempt >= 0:
                self.handle_event(api.CallStands(name, call.current_attempt, call.server, 50_000))
                self.handle_event(
                    api.AttemptEnded(name, call.attempts - 1, call.server, api.Ending.ENDED, call_over=True)
                )
            else:
                self.handle_event(api.CallGone(name))

    def complete_calls(
        self, count: int, server: str, first: int, gap: int = 200_000, delay: int = 50_000
    ) -> None:
        """Let calls arrive, be answered and end, so that the pool's usual delay and rate are known."""
        for _ in range(count):
            sent = self.call(first)
            assert sends(sent) == [server]
            self.now += delay
            self.report_answer(self.count, server, delay)
            self.report_end(self.count, server, api.Ending.ENDED, call_over=True)
            self.now += gap - delay


def sends(actions: list[api.Action]) -> list[str]:
    return [action.server for action in actions if isinstance(action, api.SendSetUp)]


def finals(actions: list[api.Action]) -> list[api.Action]:
    return [action for action in actions if isinstance(action, api.Refuse | api.Fail)]


def cancels(actions: list[api.Action]) -> list[api.Action]:
    return [action for action in actions if isinstance(action, api.CancelAttempt)]


def timers(actions: list[api.Action]) -> list[api.SetTimer]:
    return [action for action in actions if isinstance(action, api.SetTimer)]


def call_timer(actions: list[api.Action]) -> api.SetTimer:
    """Return the timer of one call, not the timer that all held calls share."""
    return next(timer for timer in timers(actions) if timer.token > 1)
