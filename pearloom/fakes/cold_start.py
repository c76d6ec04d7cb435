"""The load of a whole fleet on a cold session server, in simulated time, summed over all processes.

The real decision module runs, one controller for each process. Each sees only its own calls: their shares of
the load differ, some processes have just restarted, and some learn of the server's start seconds late.
Servers answer set-ups soon, or fail some, so that only the module's own budget limits the fleet.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from pearloom import interface as api
from pearloom.policy import Controller

COLD, REPLACED = "s-cold", "s-replaced"
COLD_CELL = 0
STARTS_US = 12_000_000  # start of the cold server; before it the processes learn the rates of warm servers
ANSWERS_US = 40_000
REDIALS_US = 1_500_000  # after a refusal
FAILED_SHARE = 0.1  # of set-ups at the cold server; they are attempted again


@dataclass(frozen=True, slots=True)
class Fleet:
    """The parameters of a run."""

    settings: api.Settings
    processes: int
    servers: int
    per_s: float  # calls of one process on average
    utilisation: float = 0.8  # of a warm server's capacity, at the mean load
    spread: float = 0.8  # standard deviation of the logarithm of a process's load
    pressed: float = 0.5  # share of calls that name the cold server first
    restarted: float = 0.3  # share of processes that restart while the server is cold
    told_late: float = 0.3  # share of processes that learn of the start seconds late


@dataclass(order=True, slots=True)
class _Due:
    at: int
    number: int
    act: Callable[[], None] = field(compare=False)


class _Run:
    """One run, drawn from a seed."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet, self.random, self.seed = fleet, Random(seed), seed
        self.now, self.count = 0, 0
        self.due: list[_Due] = []
        self.attempts: dict[tuple[int, str], int] = {}
        self.sent: list[int] = []  # when set-ups were sent to the cold server, in us
        self.controllers = [self.new_controller(index) for index in range(fleet.processes)]
        self.ends = STARTS_US + fleet.settings.warm_after_us

    def new_controller(self, index: int) -> Controller:
        return Controller(self.fleet.settings, self.seed * 1000 + index + self.count)

    def at(self, at: float, act: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.due, _Due(int(at), self.count, act))

    def play(self) -> list[int]:
        drawn = [math.exp(self.random.gauss(0.0, self.fleet.spread)) for _ in range(self.fleet.processes)]
        for index, weight in enumerate(drawn):
            # Scaled so that all processes together carry the stated mean load.
            self._begin(index, self.fleet.per_s * weight * self.fleet.processes / sum(drawn))
        while self.due and self.due[0].at < self.ends:
            due = heapq.heappop(self.due)
            self.now = due.at
            due.act()
        return self.sent

    def _begin(self, index: int, rate: float) -> None:
        fleet, random = self.fleet, self.random
        self.handle(index, api.PoolList(api.ListKind.CACHED, self.listed(False)))
        late = random.random() < fleet.told_late
        listed_us = STARTS_US + random.uniform(*((2.5e6, 7e6) if late else (0.3e6, 2.5e6)))
        self.at(listed_us, lambda: self.handle(index, api.PoolList(api.ListKind.CHANGES, self.replaced())))
        if random.random() < fleet.restarted:
            self.at(STARTS_US + random.uniform(-1e6, 10e6), lambda: self.restart(index, listed_us))
        self.arrive(index, rate)

    def listed(self, new: bool) -> tuple[api.PoolEntry, ...]:
        ready = api.PoolState.READY
        warm = [api.PoolEntry(f"s-{cell:04}", cell, ready) for cell in range(1, self.fleet.servers)]
        return (*(self.replaced()[:1] if new else (api.PoolEntry(REPLACED, COLD_CELL, ready),)), *warm)

    def replaced(self) -> tuple[api.PoolEntry, ...]:
        cold = api.PoolEntry(COLD, COLD_CELL, api.PoolState.READY, STARTS_US)
        return cold, api.PoolEntry(REPLACED, COLD_CELL, api.PoolState.GONE)

    def restart(self, index: int, listed_us: float) -> None:
        self.controllers[index] = self.new_controller(index)
        self.handle(index, api.PoolList(api.ListKind.CACHED, self.listed(self.now >= listed_us)))

    def arrive(self, index: int, rate: float) -> None:
        wait = self.random.expovariate(rate) * 1e6

        def arrived() -> None:
            self.place_call(index)
            self.arrive(index, rate)

        self.at(self.now + wait, arrived)

    def place_call(self, index: int) -> None:
        random, settings = self.random, self.fleet.settings
        class_index = random.randrange(len(settings.classes))
        pressed = self.now >= STARTS_US and random.random() < self.fleet.pressed
        first = COLD_CELL if pressed else random.randrange(self.fleet.servers)
        self.count += 1
        patience = settings.classes[class_index].deadline_us // 3
        self.handle(index, api.CallArrived(f"c{self.count}", class_index, -1, patience, first))

    def handle(self, index: int, event: api.Event) -> None:
        controller = self.controllers[index]
        for action in controller.handle(self.now, event):
            self.carry_out(index, controller, action)

    def carry_out(self, index: int, controller: Controller, action: api.Action) -> None:
        def later(after_us: float, event: Callable[[], api.Event]) -> None:
            def happen() -> None:
                if self.controllers[index] is controller:  # the process has not restarted since
                    self.handle(index, event())

            self.at(self.now + after_us, happen)

        match action:
            case api.SetTimer(after_us, token):
                later(after_us, lambda: api.TimerDue(token))
            case api.SendSetUp(call, server, _):
                attempt = self.attempts.get((index, call), 0)
                self.attempts[index, call] = attempt + 1
                fails = server == COLD and self.random.random() < FAILED_SHARE
                if server == COLD:
                    self.sent.append(self.now)
                if fails:
                    failed = api.AttemptEnded(call, attempt, server, api.Ending.FULL)
                    later(ANSWERS_US, lambda: failed)
                else:
                    later(ANSWERS_US, lambda: api.CallStands(call, attempt, server, ANSWERS_US))
            case api.Refuse():
                self.at(self.now + REDIALS_US, lambda: self.place_call(index))


@dataclass(frozen=True, slots=True)
class Window:
    """One window of the length `fall_us` at the cold server: set-ups received, and the number it can take."""

    begins_us: int  # after the server's start
    sent: int
    budget: float  # the set-ups that the settings allow the server then
    most: float  # the budget plus an allowance for random variation

    @property
    def fill(self) -> float:
        """The share of the allowed number that was sent; above 1 the server is overloaded."""
        return self.sent / self.most


def windows(fleet: Fleet, sent: list[int]) -> Iterator[Window]:
    """Yield every window that begins with a set-up, with the budget at its beginning.

    A server's capacity is its part of the load divided by the utilisation; no process knows it."""
    settings = fleet.settings
    capacity = fleet.per_s * fleet.processes / fleet.servers / fleet.utilisation
    at, end = [sent_us - STARTS_US for sent_us in sent if sent_us >= STARTS_US], 0
    for begin, begins in enumerate(at):
        while end < len(at) and at[end] < begins + settings.fall_us:
            end += 1
        warm_up = min(begins / settings.warm_after_us, 1.0)
        share = settings.cold_share + (1 - settings.cold_share) * warm_up
        budget = settings.fall_multiple * capacity * share * settings.fall_us / 1e6
        yield Window(begins, end - begin, budget, budget + 2 * math.sqrt(budget) + 2)


def play(fleet: Fleet, seed: int) -> list[Window]:
    """Run once and return all windows at the cold server."""
    return list(windows(fleet, _Run(fleet, seed).play()))
