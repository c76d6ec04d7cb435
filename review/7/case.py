"""Case 7: answers arrive with a Content-Length that does not fit; unchanged descriptions are owed."""

from __future__ import annotations

import asyncio
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
    Record,
    ServerCall,
    SipServer,
    Softswitch,
    main,
)

INTERVAL_S = 0.6  # between calls: a connection that was closed for a spoilt answer is open again by then
SHORT = range(31, 69)  # lengths given for descriptions of 69 bytes
LONG = range(69 + 21, 69 + 81)  # the same: a release of another call follows on the connection
RELEASE_AFTER_S = 0.03


async def play(record: Record, folder: Path) -> tuple[int, list[str]]:
    """Place a call for each wrong length; judge what the caller was told to be the server's description."""
    lengths: dict[str, int] = {}  # by call, of its first answer
    ends: dict[str, str] = {}  # by call: another one, which ends right after that answer
    made: dict[str, list[bytes]] = {}
    spoilt: dict[str, int] = {}

    async def handle(server: SipServer, one: ServerCall) -> None:
        await asyncio.sleep(0.02)
        made.setdefault(one.call, []).append(server.description(one))
        if one.call in spoilt or one.call not in lengths:
            server.answer(one)
            return
        spoilt[one.call] = lengths[one.call]
        server.answer(one, lengths[one.call] if TROUBLE else None)
        for other in server.calls.get(ends.get(one.call, ""), ()):
            await asyncio.sleep(RELEASE_AFTER_S)
            server.release(other)

    servers = [SipServer(record, f"s-0000000{1 + cell}", cell, handle) for cell in range(2)]
    for server in servers:
        await server.start()
    coordinator = Coordinator(record, servers)
    await coordinator.start()
    softswitch = Softswitch(record, folder, coordinator)
    try:
        await softswitch.start()
        caller = Caller(record, softswitch.listen)
        await caller.connect()
        for number, length in enumerate(SHORT):
            lengths[caller.place(number % 2)] = length
            await asyncio.sleep(INTERVAL_S)
        for number, length in enumerate(LONG):
            before = caller.place(number % 2)
            await asyncio.sleep(INTERVAL_S / 3)
            call = caller.place(number % 2)
            lengths[call], ends[call] = length, before
            await asyncio.sleep(INTERVAL_S)
        await asyncio.sleep(4.0)
        for call in caller.answers:
            caller.release(call)
        await asyncio.sleep(0.5)
        await caller.close()
    finally:
        softswitch.close()
        for part in (coordinator, *servers):
            await part.close()
    return judge(record, made, spoilt, caller.answers)


def judge(
    record: Record, made: dict[str, list[bytes]], spoilt: dict[str, int], answers: dict[str, bytes]
) -> tuple[int, list[str]]:
    """Compare each description that the caller got with those that servers made for its call."""
    changed = [call for call, description in answers.items() if description not in made.get(call, ())]
    calls = record.find("set-up", who="caller")
    cut = sum(len(answers[call]) < len(made[call][0]) for call in changed)
    lines = [
        f"calls={len(calls)} lengths tried={len(spoilt)} stand={len(answers)}",
        f"descriptions cut short={cut}, with bytes of another call's message={len(changed) - cut}",
    ]
    lines += [
        f"{call}: told {answers[call]!r}, made {made[call][0]!r} (Content-Length {spoilt.get(call)})"
        for call in changed
    ]
    if changed:
        return BROKEN, ["BROKEN", *lines]
    is_whole = len(spoilt) >= 0.8 * (len(SHORT) + len(LONG))
    return (HELD, ["HELD", *lines]) if is_whole else (NOT_RUN, ["NOT RUN", *lines])


main(Path(__file__).resolve().parent, play)
