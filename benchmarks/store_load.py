"""Load on the store: operations per second at several fleet sizes, by the real timing functions.

python -m benchmarks.store_load

Simulates every member's heartbeats, lease renewals and published counts for one minute. As a check of the
simulation, 16 real processes run as well, with their writes counted at the fake store.
"""

from __future__ import annotations

from random import Random

import gevent
from rich.console import Console
from rich.table import Table

from pearloom.coordination.timing import LocalLease
from pearloom.fakes.fleet import Rig
from pearloom.membership.view import heartbeat_interval_ms
from pearloom.rollout.stages import publish_interval_ms

SECONDS, HEARTBEAT_MS, PUBLISH_MS, LEASE_MS = 60, 2_000.0, 1_000.0, 5_000.0


def simulated(members: int, rollout: bool, heartbeat_ms: float, lease_ms: float) -> tuple[float, float]:
    """Return simulated writes and lease renewals per second."""
    random, writes, renewals = Random(members), 0, 0
    periods = [heartbeat_interval_ms(heartbeat_ms, members)] + (
        [publish_interval_ms(PUBLISH_MS, members)] if rollout else []
    )
    for _ in range(members):
        for period in periods:
            due = random.uniform(0.0, period)
            while due < 1_000.0 * SECONDS:
                writes, due = writes + 1, due + period
        lease = LocalLease(lease_ms)
        lease.granted(1, random.uniform(-lease_ms / 3.0, 0.0))
        while lease.renew_at_ms < 1_000.0 * SECONDS:
            lease.granted(1, lease.renew_at_ms)
            renewals += 1
    return writes / SECONDS, renewals / SECONDS


def measured(members: int, for_s: float = 10.0) -> float:
    """Return writes per second of real processes that only send heartbeats."""
    rig = Rig(71, members)
    try:
        rig.start()
        rig.wait_until(
            lambda: rig.management_call("n1", "GET", "/v1/members")[1].count("condition=live") == members,
            30.0,
        )
        gevent.sleep(2.0)
        before = rig.gateway.store.revision
        gevent.sleep(for_s)
        return (rig.gateway.store.revision - before) / for_s
    finally:
        rig.close()


def main() -> None:
    """Print one line for each size; each write is an event at every member's watch."""
    table = Table(
        "softswitches", "rollout", "writes/s", "renewals/s", "events to one member/s", "events in all/s"
    )
    for members in (16, 200, 1_000):
        for rollout in (False, True):
            writes, renewals = simulated(members, rollout, HEARTBEAT_MS, LEASE_MS)
            table.add_row(
                str(members), "under way" if rollout else "none", f"{writes:.1f}", f"{renewals:.1f}",
                f"{writes:.0f}", f"{writes * members:.0f}",
            )  # fmt: skip
    console = Console()
    console.print(table)
    expected, _ = simulated(16, False, 400.0, 2_000.0)
    console.print(
        f"16 real processes, heartbeat 400 ms: {measured(16):.1f} writes/s, simulated {expected:.1f}"
    )


if __name__ == "__main__":
    main()
