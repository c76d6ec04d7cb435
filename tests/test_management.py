"""The operators' address, where a recording can't play the caller."""

from __future__ import annotations

from typing import Any

import gevent

from pearloom.admin.management import MAX_REQUEST_BYTES, MOST_AFTER, READ_BYTES, _Call


class Endless:
    """A caller that always has something to read, as one at full speed does."""

    def __init__(self) -> None:
        self.read = 0

    def sendall(self, data: bytes) -> None:
        pass

    def shutdown(self, how: int) -> None:
        pass

    def recv(self, most: int) -> bytes:
        self.read += most
        assert self.read <= MOST_AFTER + READ_BYTES, "read on for ever"
        return bytes(most)


def test_a_caller_that_sends_without_end_keeps_nobody_from_their_turn() -> None:
    endless: Any = Endless()
    turns: list[int] = []

    def take_turns() -> None:
        for _ in range(5):
            turns.append(endless.read)
            gevent.sleep(0)

    other = gevent.spawn(take_turns)
    _Call(endless, MAX_REQUEST_BYTES).finish(b"answer")
    other.join(5)
    assert len(set(turns)) == 5 and max(turns) < MOST_AFTER
