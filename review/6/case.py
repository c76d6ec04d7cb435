"""Case 6: the answers on one connection to a server come late; a call is out at two servers at once."""

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
    TROUBLE,
    Caller,
    Coordinator,
    Proxy,
    Record,
    ServerCall,
    SipConnection,
    SipServer,
    Softswitch,
    main,
)

RATE = 7.4  # calls a second at random times: 52 a second over seven softswitches
SAVE_SHARE = 0.22  # of the calls are of class save-answers
SECOND_SHARE = 0.3  # of the calls name the second server first
HANDLING_S = 0.2  # from a set-up to its answer at every server
HOLD_S = 9.0
FULL_EVERY = 1  # one of so many new set-ups on that connection finds the processor full, in those times
LATE_S = 1.0  # what the server sends on one connection comes so late
WARM_UP_S = 12.0
PHASES, PHASE_S, PAUSE_S = 4, 10.0, 9.0  # how often the connection is late, for how long, and in between


async def play(record: Record, folder: Path) -> tuple[int, list[str]]:
    """Play an ordinary day on which one connection becomes late."""
    seen = 0
    is_late: list[SipConnection] = []

    async def handle(server: SipServer, one: ServerCall) -> None:
        nonlocal seen
        is_full = False
        if one.connection in is_late and one.attempt == 1:
            seen += 1
            is_full = seen % FULL_EVERY == 0
        await asyncio.sleep(HANDLING_S)
        if is_full:
            server.refuse(one, "503 Service Unavailable", "acc")
            return
        server.answer(one)
        await asyncio.sleep(HOLD_S)
        server.release(one)

    servers = [SipServer(record, f"s-0000000{1 + cell}", cell, handle) for cell in range(2)]
    proxies = [Proxy(server) for server in servers]
    for part in (*servers, *proxies):
        await part.start()
    coordinator = Coordinator(record, servers)
    await coordinator.start()
    softswitch = Softswitch(record, folder, coordinator)
    try:
        await softswitch.start()
        caller = Caller(record, softswitch.listen)
        await caller.connect()
        traffic = asyncio.create_task(place_calls(caller))
        await asyncio.sleep(WARM_UP_S)
        for _ in range(PHASES):
            late = servers[0].connections[0]
            is_late.append(late)
            if TROUBLE:
                proxies[0].pipe_of(late).delay_s = LATE_S
                record.add("proxy", "late", detail=f"connection={late.number} by {LATE_S:g} s")
            await asyncio.sleep(PHASE_S)
            is_late.clear()
            if TROUBLE:
                proxies[0].pipe_of(late).delay_s = 0.0
                record.add("proxy", "in time", detail=f"connection={late.number}")
            await asyncio.sleep(PAUSE_S)
        traffic.cancel()
        await asyncio.sleep(4.0)
        await caller.close()
    finally:
        softswitch.close()
        for part in (coordinator, *proxies, *servers):
            await part.close()
    return judge(record)


async def place_calls(caller: Caller) -> None:
    """Place calls at random times, at the rate of an ordinary day."""
    chance = random.Random(8)
    while True:
        await asyncio.sleep(chance.expovariate(RATE))
        caller.place(
            int(chance.random() < SECOND_SHARE),
            class_name="save-answers" if chance.random() < SAVE_SHARE else "open-form",
        )


def judge(record: Record) -> tuple[int, list[str]]:
    """A set-up may not reach a server while another attempt of its call is out, answered or not."""
    out: dict[str, str] = {}  # the server at which the call's attempt is out
    broken: list[str] = []
    for entry in record.entries:
        if entry.who[:2] != "s-":
            continue
        if entry.what == "set-up":
            if entry.call in out:
                broken.append(f"{entry.call}: {entry.detail} at {entry.who} while out at {out[entry.call]}")
            out[entry.call] = entry.who
        elif entry.what in ("cancel", "turned away", "given up", "release", "released", "answered"):
            out.pop(entry.call, None)
    attempts = len([entry for entry in record.find("set-up") if entry.who[:2] == "s-"])
    lines = [
        f"calls={len(record.find('set-up', who='caller'))} attempts={attempts} two at once={len(broken)}"
    ]
    if broken:
        return BROKEN, ["BROKEN", *lines, *broken]
    return (HELD, ["HELD", *lines]) if attempts > 100 else (NOT_RUN, ["NOT RUN", *lines])


main(Path(__file__).resolve().parent, play)
