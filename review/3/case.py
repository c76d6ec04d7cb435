"""Case 3: a session server is lost for 5 s and returns cold; its calls have to be released within 8 s."""

from __future__ import annotations

import asyncio
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import (
    Caller,
    Coordinator,
    Listed,
    Peer,
    Record,
    SipServer,
    Softswitch,
    draw_seed,
    late_releases,
    main,
    now_ms,
    place_steadily,
    settings,
)

LOST_S = 5.0  # "a zone is lost for 5 s [...] and returns cold"
LIST_LATE_S = 3.5  # after the return: "seconds late"; the site file allows 2.5 + 0.88 + 0.36 s
LIMIT_MS = 8_000.0 + 50.0  # "within 8 s of its end where no release could be sent", 50 ms longer on sockets
RELEASE_MS = 1_000.0 + 50.0  # "within 1 s of the release by the session server"
CALLS_PER_S = 7.0  # about 52 calls a second at 6 to 8 softswitches
BEFORE_S, AFTER_S = 6.0, 14.0
FILLERS = 8  # connections that fill the listener's queue, so that the system leaves a SYN unanswered


class LostServer(SipServer):
    """A session server whose machine can be lost, and return cold at the same address."""

    def __init__(self, record: Record, name: str) -> None:
        """Start as any session server."""
        super().__init__(record, name)
        self.cut_ms: dict[str, float] = {}  # when a call that stood ended with the machine
        self._fillers: list[socket.socket] = []
        self._old: list[Peer] = []
        self._resetting: list[asyncio.Task[None]] = []

    async def lose(self) -> None:
        """The machine is lost: open connections stay open and say nothing, new ones never come up."""
        self.stop_accepting()
        await asyncio.sleep(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self._fillers.append(filler)
        at_ms = now_ms()
        self.cut_ms = {one.call: at_ms for one in self.calls.values() if one.stands}
        self.calls.clear()
        self._old, self.peers = self.peers, []
        for peer in self._old:
            peer.is_open = False
            if peer.task is not None:
                peer.task.cancel()
        self._record.add(self.name, f"its machine is lost, with {len(self.cut_ms)} calls that stand")

    def come_back(self) -> int:
        """The machine returns cold: it knows no old connection, and resets each on the first byte."""
        self._resetting = [asyncio.create_task(self._reset_on_data(peer)) for peer in self._old]
        for filler in self._fillers:
            filler.close()
        self.accept()
        self._record.add(self.name, "its machine is back, cold")
        return int(now_ms())

    async def _reset_on_data(self, peer: Peer) -> None:
        await asyncio.get_running_loop().sock_recv(peer.sock, 1)
        self._record.add(self.name, "resets a connection from before its loss")
        peer.is_open, peer.task = True, None
        peer.reset()


async def play(record: Record, has_trouble: bool) -> list[str]:
    """Play the case; return the breaks of the rule."""
    lost, other = LostServer(record, "s-0000000a"), SipServer(record, "s-0000000b")
    await lost.start()
    await other.start()
    coordinator = Coordinator(record, [Listed(lost.name, lost.port, 0), Listed(other.name, other.port, 1)])
    await coordinator.start()
    softswitch = Softswitch(record, "n1", coordinator, settings())
    caller = Caller(record, "front", softswitch.port)
    try:
        await softswitch.start()
        calls = int((BEFORE_S + AFTER_S) * CALLS_PER_S)
        placing = asyncio.create_task(place_steadily(caller, draw_seed(), 0, calls, CALLS_PER_S))
        await asyncio.sleep(BEFORE_S)
        if has_trouble:
            await lost.lose()
            await asyncio.sleep(LOST_S)
            born_ms = lost.come_back()
            await asyncio.sleep(LIST_LATE_S)
            await coordinator.announce(Listed(lost.name, lost.port, 0, born_ms=born_ms))
        await placing
        await asyncio.sleep(2.0)
        released_ms = {**lost.released_ms, **other.released_ms}
        due_ms = {call: at_ms for call, at_ms in released_ms.items() if at_ms + RELEASE_MS < now_ms()}
        broken = late_releases(caller, lost.cut_ms, LIMIT_MS) + late_releases(caller, due_ms, RELEASE_MS)
    finally:
        caller.close()
        softswitch.end()
    return broken


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, play, 100.0))
