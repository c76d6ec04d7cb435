"""Case 6: the coordinator takes 3 s until the first frame on a connection; a server drains meanwhile."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))

from harness import (
    BROKEN,
    HELD,
    NOT_RUN,
    SLACK_MS,
    TROUBLE,
    Caller,
    Coordinator,
    Record,
    ServerCall,
    SipServer,
    Softswitch,
    main,
)

RATE = 7.4  # calls a second at random times: 52 a second over seven softswitches
SAVE_SHARE = 0.22  # of the calls are of class save-answers
HOLD_S = 9.0
FIRST_FRAME_S = 3.0  # from a connection to the coordinator to its first frame
BEFORE_S = 12.0
DRAIN_S = 9.8  # from the start of the drain until the server stops
TOLD_MS = 7_000.0  # "counts as told no later than 7 s afterwards, whether or not it arrived"
DRAIN_GRACE_MS = 250.0


async def play(record: Record, folder: Path) -> tuple[int, list[str]]:
    """Drain and stop one of two servers under ordinary traffic."""

    async def handle(server: SipServer, one: ServerCall) -> None:
        await asyncio.sleep(0.03)
        server.answer(one)
        await asyncio.sleep(HOLD_S)
        server.release(one)

    servers = [SipServer(record, f"s-0000000{1 + cell}", cell, handle) for cell in range(2)]
    for server in servers:
        await server.start()
    coordinator = Coordinator(record, servers)
    if TROUBLE:
        coordinator.first_frame_s = FIRST_FRAME_S
    await coordinator.start()
    softswitch = Softswitch(record, folder, coordinator)
    try:
        await softswitch.start()
        caller = Caller(record, softswitch.listen)
        await caller.connect()
        traffic = asyncio.create_task(place_calls(caller))
        await asyncio.sleep(BEFORE_S)
        coordinator.announce(servers[0], 1)
        await asyncio.sleep(DRAIN_S)
        record.add(servers[0].name, "stops")
        await servers[0].close()
        await asyncio.sleep(2.0)
        traffic.cancel()
        await asyncio.sleep(1.0)
        await caller.close()
    finally:
        softswitch.close()
        for part in (coordinator, *servers):
            await part.close()
    return judge(record)


async def place_calls(caller: Caller) -> None:
    """Place calls at random times, at the rate of an ordinary day."""
    chance = random.Random(9)
    while True:
        await asyncio.sleep(chance.expovariate(RATE))
        caller.place(
            chance.randrange(2), class_name="save-answers" if chance.random() < SAVE_SHARE else "open-form"
        )


def judge(record: Record) -> tuple[int, list[str]]:
    """Nothing new may reach the server 250 ms, and 50 ms, after the drain counts as told."""
    told, stops = record.find("told")[0], record.find("stops")[0]
    set_ups = [entry for entry in record.find("set-up", who="s-00000001") if entry.at_ms <= stops.at_ms]
    late = [entry for entry in set_ups if entry.at_ms > told.at_ms + TOLD_MS + DRAIN_GRACE_MS + SLACK_MS]
    lost = [
        entry.call
        for entry in late
        if record.find("stands", entry.call) and not record.find("release", entry.call, "s-00000001")
    ]
    asked = len([entry for entry in record.find("asked") if entry.at_ms <= stops.at_ms])
    lines = [
        f"set-ups at the server before its drain: {len([one for one in set_ups if one.at_ms < told.at_ms])}",
        f"set-ups at it more than 7.3 s after that: {len(late)}; of these calls cut: {len(lost)}",
        f"connections to the coordinator: {asked}",
    ]
    if late:
        return BROKEN, ["BROKEN", *lines]
    return (HELD, ["HELD", *lines]) if len(set_ups) > 10 else (NOT_RUN, ["NOT RUN", *lines])


main(Path(__file__).resolve().parent, play)
