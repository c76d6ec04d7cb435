"""Arbitrary legal event orders; the five rules are asserted on the actions alone."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from pearloom import interface as api
from pearloom.policy import Controller
from tests.helpers import settings as told

Ending, State = api.Ending, api.PoolState
SERVERS = ("a:1", "b:1", "c:1")
RELEASING = (Ending.TIMED_OUT, Ending.RESET, Ending.CANCELLED)


@dataclass
class Ledger:
    """What the wire would know of one call."""

    deadline: int
    final: bool = False
    stands: bool = False
    out: int | None = None
    attempts: int = 0
    where: list[str] = field(default_factory=list)
    released: int = 0
    unsettled: set[int] = field(default_factory=set)


class World:
    """Keeps the books of legal events and asserts the rules; it models no server."""

    def __init__(self, seed: int) -> None:
        self.settings = told(fleet_size=2)
        self.controller = Controller(self.settings, seed)
        self.now = 50_000_000
        self.calls: dict[str, Ledger] = {}
        self.state = {server: State.READY for server in SERVERS}
        self.started = dict.fromkeys(SERVERS, 0)
        self.timers: list[tuple[int, int]] = []
        self.cold_sends: dict[str, deque[int]] = {server: deque() for server in SERVERS}
        self.list(api.ListKind.CACHED, SERVERS)

    def list(self, kind: api.ListKind, servers: tuple[str, ...]) -> None:
        self.tell(
            api.PoolList(
                kind,
                tuple(
                    api.PoolEntry(server, SERVERS.index(server), self.state[server], self.started[server])
                    for server in servers
                ),
            )
        )

    def tell(self, event: api.Event) -> None:
        for action in self.controller.handle(self.now, event):
            self.check(action)

    def check(self, action: api.Action) -> None:
        match action:
            case api.SendSetUp(name, server, timeout):
                call = self.calls[name]
                assert not call.final and not call.stands, "sent after the final answer"
                assert call.out is None, "two attempts out"
                assert call.attempts < self.settings.max_attempts
                assert self.state[server] is State.READY, "sent to a server that drains or is gone"
                assert self.now >= call.released, "release not awaited"
                assert 0 < timeout <= call.deadline - self.now
                self.cold(server)
                call.out = call.attempts
                call.unsettled.add(call.attempts)
                call.attempts += 1
                call.where.append(server)
            case api.Refuse(name) | api.Fail(name):
                call = self.calls[name]
                assert not call.final and not call.stands, "two final answers"
                assert self.now <= call.deadline + self.settings.answer_slack_us, "late answer"
                call.final = True
            case api.CancelAttempt(name, attempt):
                assert attempt < self.calls[name].attempts
            case api.SetTimer(after, token):
                assert after > 0
                self.timers.append((self.now + after, token))

    def cold(self, server: str) -> None:
        """Own sends to a cold server stay under own part of the budget, taken from own top rate."""
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
        assert len(sends) < share + 1, "cold server pushed"  # a part below one goes by a drawn turn

    def wait(self, span: int) -> None:
        """Time passes; timers come due in order, a little late as on the wire."""
        end = self.now + span
        while due := [timer for timer in self.timers if timer[0] <= end]:
            first = min(due)
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            self.tell(api.TimerDue(first[1]))
        self.now = end
        for call in self.calls.values():
            assert (
                call.final or call.stands or self.now <= call.deadline + self.settings.answer_slack_us
            ), "lost"

    def settle(self, name: str, attempt: int, ending: api.Ending, full: bool) -> None:
        call = self.calls[name]
        call.unsettled.discard(attempt)
        if call.out == attempt:
            call.out = None
        if ending in RELEASING:
            call.released = self.now + self.settings.release_us
        self.tell(
            api.AttemptEnded(
                name,
                attempt,
                call.where[attempt],
                ending,
                call_over=call.stands or call.final,
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
                "stand",
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
        out = [(name, n) for name, call in world.calls.items() for n in sorted(call.unsettled)]
        match step:
            case "call":
                name = f"c{number}"
                patience = (50_000, 700_000, 3_000_000)[pick % 3]
                world.calls[name] = Ledger(world.now + patience)
                world.tell(api.CallArrived(name, pick % 2, 0, patience, pick % 4))
            case "stand" if out:
                name, n = out[pick % len(out)]
                call = world.calls[name]
                if call.out == n and not call.stands and not call.final:
                    call.out, call.stands = None, True
                    world.tell(api.CallStands(name, n, call.where[n], 1_000 + pick * 100))
            case "end" if out:
                name, n = out[pick % len(out)]
                ending = Ending.ENDED if world.calls[name].stands else ENDINGS[pick % len(ENDINGS)]
                world.settle(name, n, Ending.RESET if pick % 7 == 0 else ending, pick % 2 == 0)
            case "gone" if world.calls:
                name = sorted(world.calls)[pick % len(world.calls)]
                world.calls[name].final = True
                world.tell(api.CallGone(name))
            case "list":
                server = SERVERS[pick % 3]
                world.state[server] = tuple(State)[pick // 3 % 3]
                if pick % 5 == 0:
                    world.state.update(dict.fromkeys(set(SERVERS) - {server}, State.GONE))
                    world.list(api.ListKind.COMPLETE, (server,))
                else:
                    world.list(api.ListKind.CHANGES, (server,))
            case "restart":
                server = SERVERS[pick % 3]
                world.state[server], world.started[server] = State.READY, max(1, world.now - pick * 200)
                world.list(api.ListKind.CHANGES, (server,))
            case "report":
                world.tell(
                    api.PoolReport(SERVERS[pick % 3], Ending.ENDED, 0, {"free_lines": float(pick % 40 - 1)})
                )
            case "wait":
                world.wait(pick * (10 if pick % 2 else 200))
            case _:
                pass
    world.wait(10_000_000)


@settings(derandomize=True, deadline=None, max_examples=150, suppress_health_check=list(HealthCheck))
@given(st.integers(0, 2**32), STEPS)
def test_rules_hold_in_any_legal_order(seed: int, steps: list[tuple[str, int]]) -> None:
    play(World(seed), steps)
