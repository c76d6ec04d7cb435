"""Random valid orders of events: the five rules of every decision must hold for the resulting actions."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from pearloom import interface as api
from pearloom.policy import Controller
from tests.helpers import settings as make_settings

Ending, State = api.Ending, api.PoolState
SERVERS = ("a:1", "b:1", "c:1")
RELEASING = (Ending.TIMED_OUT, Ending.RESET, Ending.CANCELLED)


@dataclass
class CallRecord:
    """State of one call, from its events and actions."""

    deadline: int
    is_final: bool = False
    is_established: bool = False
    outstanding: int | None = None  # number of the attempt
    attempts: int = 0
    servers: list[str] = field(default_factory=list)
    release_at: int = 0
    unsettled: set[int] = field(default_factory=set)


class World:
    """Generates valid events and asserts the rules on every action; it does not model servers."""

    def __init__(self, seed: int) -> None:
        self.settings = make_settings(fleet_size=2)
        self.controller = Controller(self.settings, seed)
        self.now = 50_000_000
        self.calls: dict[str, CallRecord] = {}
        self.states = {server: State.READY for server in SERVERS}
        self.started = dict.fromkeys(SERVERS, 0)
        self.timers: list[tuple[int, int]] = []
        self.cold_sends: dict[str, deque[int]] = {server: deque() for server in SERVERS}
        self.send_list(api.ListKind.CACHED, SERVERS)

    def send_list(self, kind: api.ListKind, servers: tuple[str, ...]) -> None:
        self.handle(
            api.PoolList(
                kind,
                tuple(
                    api.PoolEntry(server, SERVERS.index(server), self.states[server], self.started[server])
                    for server in servers
                ),
            )
        )

    def handle(self, event: api.Event) -> None:
        for action in self.controller.handle(self.now, event):
            self.check(action)

    def check(self, action: api.Action) -> None:
        match action:
            case api.SendSetUp(name, server, timeout):
                call = self.calls[name]
                assert not call.is_final and not call.is_established, "sent after the final answer"
                assert call.outstanding is None, "two outstanding attempts"
                assert call.attempts < self.settings.max_attempts
                assert self.states[server] is State.READY, "sent to a server that is draining or gone"
                assert self.now >= call.release_at, "sent before the release time"
                assert 0 < timeout <= call.deadline - self.now
                self.check_cold_budget(server)
                call.outstanding = call.attempts
                call.unsettled.add(call.attempts)
                call.attempts += 1
                call.servers.append(server)
            case api.Refuse(name) | api.Fail(name):
                call = self.calls[name]
                assert not call.is_final and not call.is_established, "two final answers"
                assert self.now <= call.deadline + self.settings.answer_slack_us, "late answer"
                call.is_final = True
            case api.CancelAttempt(name, attempt):
                assert attempt < self.calls[name].attempts
            case api.SetTimer(after, token):
                assert after > 0
                self.timers.append((self.now + after, token))

    def check_cold_budget(self, server: str) -> None:
        """Assert that sends to a cold server stay below this softswitch's part of its budget."""
        if not self.started[server] or self.now >= self.started[server] + self.settings.warm_after_us:
            return
        sends, window = self.cold_sends[server], self.settings.fall_us
        while sends and (sends[0] <= self.now - window or sends[0] < self.started[server]):
            sends.popleft()
        sends.append(self.now)
        top = self.controller._state.warm_rate * self.controller._state.pools[server].lines
        warmed = (self.now - self.started[server]) / self.settings.warm_after_us
        ramp = self.settings.cold_share + (1 - self.settings.cold_share) * warmed
        share = self.settings.fall_multiple * ramp * top * window / 1e6
        assert len(sends) < share + 1, "cold budget exceeded"  # a part below one is rounded at random

    def wait(self, duration_us: int) -> None:
        """Let time pass; timers expire in order."""
        end = self.now + duration_us
        while due := [timer for timer in self.timers if timer[0] <= end]:
            first = min(due)
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            self.handle(api.TimerDue(first[1]))
        self.now = end
        for call in self.calls.values():
            assert (
                call.is_final
                or call.is_established
                or self.now <= call.deadline + self.settings.answer_slack_us
            ), "no final answer"

    def end_attempt(self, name: str, attempt: int, ending: api.Ending, full: bool) -> None:
        call = self.calls[name]
        call.unsettled.discard(attempt)
        if call.outstanding == attempt:
            call.outstanding = None
        if ending in RELEASING:
            call.release_at = self.now + self.settings.release_us
        self.handle(
            api.AttemptEnded(
                name,
                attempt,
                call.servers[attempt],
                ending,
                call_over=call.is_established or call.is_final,
                processor_full=full and ending is Ending.FULL,
                no_line=not full,
            )
        )


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            (
                "call",
                "call",
                "call",
                "answer",
                "end",
                "end",
                "gone",
                "list",
                "restart",
                "report",
                "wait",
                "wait",
            )
        ),
        st.integers(0, 10_000),
    ),
    min_size=20,
    max_size=150,
)
ENDINGS = tuple(ending for ending in Ending if ending is not Ending.ENDED)


def play(world: World, steps: list[tuple[str, int]]) -> None:
    for number, (step, pick) in enumerate(steps):
        outstanding = [(name, n) for name, call in world.calls.items() for n in sorted(call.unsettled)]
        match step:
            case "call":
                name = f"c{number}"
                patience = (50_000, 700_000, 3_000_000)[pick % 3]
                world.calls[name] = CallRecord(world.now + patience)
                world.handle(api.CallArrived(name, pick % 2, 0, patience, pick % 4))
            case "answer" if outstanding:
                name, n = outstanding[pick % len(outstanding)]
                call = world.calls[name]
                if call.outstanding == n and not call.is_established and not call.is_final:
                    call.outstanding, call.is_established = None, True
                    world.handle(api.CallStands(name, n, call.servers[n], 1_000 + pick * 100))
            case "end" if outstanding:
                name, n = outstanding[pick % len(outstanding)]
                ending = Ending.ENDED if world.calls[name].is_established else ENDINGS[pick % len(ENDINGS)]
                world.end_attempt(name, n, Ending.RESET if pick % 7 == 0 else ending, pick % 2 == 0)
            case "gone" if world.calls:
                name = sorted(world.calls)[pick % len(world.calls)]
                world.calls[name].is_final = True
                world.handle(api.CallGone(name))
            case "list":
                server = SERVERS[pick % 3]
                world.states[server] = tuple(State)[pick // 3 % 3]
                if pick % 5 == 0:
                    world.states.update(dict.fromkeys(set(SERVERS) - {server}, State.GONE))
                    world.send_list(api.ListKind.COMPLETE, (server,))
                else:
                    world.send_list(api.ListKind.CHANGES, (server,))
            case "restart":
                server = SERVERS[pick % 3]
                world.states[server], world.started[server] = State.READY, max(1, world.now - pick * 200)
                world.send_list(api.ListKind.CHANGES, (server,))
            case "report":
                world.handle(
                    api.PoolReport(SERVERS[pick % 3], Ending.ENDED, 0, {"free_lines": float(pick % 40 - 1)})
                )
            case "wait":
                world.wait(pick * (10 if pick % 2 else 200))
            case _:
                pass
    world.wait(10_000_000)


@settings(derandomize=True, deadline=None, max_examples=150, suppress_health_check=list(HealthCheck))
@given(st.integers(0, 2**32), STEPS)
def test_rules_hold_in_any_valid_order_of_events(seed: int, steps: list[tuple[str, int]]) -> None:
    play(World(seed), steps)
