"""Event streams run against the decision module in a closed loop, each summed up in a digest of its actions.

`tests/streams.json` holds the digests from before routing rules existed: without a rule in the events, no
action of the module may differ. `python -m tests.streams` prints the digests of the current source.
"""

from __future__ import annotations

import heapq
import json
from hashlib import sha256
from pathlib import Path
from random import Random

from pearloom import interface as api
from pearloom.interface import Ending, ListKind, PoolEntry, PoolState
from pearloom.policy import Controller

RECORDED = Path(__file__).with_name("streams.json")
SEEDS = range(16)
EVENTS = 4_000
SETTINGS = api.Settings(
    classes=(
        api.CallClass(2_000_000, 9_000_000, 1.0, 0.2),
        api.CallClass(1_500_000, 9_000_000, 3.0, 0.5, cells=(0, 1, 2)),
        api.CallClass(1_000_000, 4_000_000, 2.0, 0.0, repeatable=False),
    ),
    tenants=(api.Tenant(0.6), api.Tenant(0.3)),
    over_share_worth=0.3, fleet_size=20, answer_slack_us=20_000, cold_share=0.34, warm_after_us=14_000_000,
    fall_multiple=2.0, fall_us=1_500_000, release_us=300_000, max_attempts=4, may_cancel=True,
)  # fmt: skip


class Stream:
    """One stream: events of servers and callers, drawn from the seed and depending on the actions so far."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.controller = Controller(SETTINGS, seed)
        self.now_us, self.scheduled = 0, 0
        self.queue: list[tuple[int, int, api.Event]] = []
        self.attempt_counts: dict[str, int] = {}
        self.servers: dict[str, str] = {}
        self.open_attempts: set[tuple[str, int]] = set()
        self.digest = sha256()

    def schedule(self, after_us: int, event: api.Event) -> None:
        self.scheduled += 1
        heapq.heappush(self.queue, (self.now_us + after_us, self.scheduled, event))

    def run(self) -> str:
        cells = [PoolEntry(f"s-{cell:08x}", cell, PoolState.READY) for cell in range(5)]
        self.handle(api.PoolList(ListKind.CACHED, tuple(cells)))
        for call in range(EVENTS // 6):
            self.schedule(int(self.random.expovariate(40.0) * 1e6) + call * 25_000, self.call_arrived(call))
        for at in range(12):
            entry = self.random.choice(cells)
            state = self.random.choice(list(PoolState))
            started = 0 if self.random.random() < 0.5 else at * 1_000_000
            changed = PoolEntry(entry.server, entry.cell, state, started)
            self.schedule(at * 1_200_000, api.PoolList(ListKind.CHANGES, (changed,)))
        while self.queue:
            self.now_us, _, event = heapq.heappop(self.queue)
            if isinstance(event, api.CallStands | api.AttemptEnded):
                if (event.call, event.attempt) not in self.open_attempts:
                    continue
                self.open_attempts.discard((event.call, event.attempt))
            self.handle(event)
        return self.digest.hexdigest()

    def call_arrived(self, call: int) -> api.CallArrived:
        random = self.random
        return api.CallArrived(
            f"{call:016x}", random.randrange(3), random.randrange(-1, 2), random.randrange(1, 9_000_000),
            random.randrange(-1, 6), number=f"31{random.randrange(200)}",
        )  # fmt: skip

    def handle(self, event: api.Event) -> None:
        for action in self.controller.handle(self.now_us, event):
            self.digest.update(repr(action).encode())
            match action:
                case api.SetTimer(after_us, token) if self.scheduled < 10 * EVENTS:
                    self.schedule(after_us, api.TimerDue(token))
                case api.SendSetUp(call, server):
                    self.on_set_up(call, server)
                case api.CancelAttempt(call, attempt) if (call, attempt) in self.open_attempts:
                    # A later outcome that is already scheduled for this attempt is dropped when it comes.
                    self.schedule(1, api.AttemptEnded(call, attempt, self.servers[call], Ending.CANCELLED))
                case _:
                    pass

    def on_set_up(self, call: str, server: str) -> None:
        attempt = self.attempt_counts.get(call, 0)
        self.attempt_counts[call], self.servers[call] = attempt + 1, server
        self.open_attempts.add((call, attempt))
        chance, took_us = self.random.random(), int(self.random.lognormvariate(11.5, 1.0))
        delay_us = took_us * (1 + 4 * (int(server[2:], 16) == 3))
        if chance < 0.85:
            self.schedule(delay_us, api.CallStands(call, attempt, server, delay_us))
        else:
            ending = self.random.choice([Ending.ERROR, Ending.FULL, Ending.UNREACHABLE, Ending.RESET])
            self.schedule(
                delay_us,
                api.AttemptEnded(call, attempt, server, ending, delay_us, processor_full=chance > 0.95),
            )


def digests() -> dict[str, str]:
    """Return the digest of each stream by its seed."""
    return {str(seed): Stream(seed).run() for seed in SEEDS}


if __name__ == "__main__":
    print(json.dumps(digests(), indent=1))
