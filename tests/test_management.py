"""The management server, in a case that a recorded script of messages can't express."""

from __future__ import annotations

from typing import Any

import gevent

from pearloom.admin.management import MAX_REQUEST_BYTES, MAX_TRAILING_BYTES, READ_BYTES, _Connection


class EndlessClient:
    """A fake socket whose client sends without end: it always has data to read."""

    def __init__(self) -> None:
        self.read = 0

    def sendall(self, data: bytes) -> None:
        pass

    def shutdown(self, how: int) -> None:
        pass

    def recv(self, size: int) -> bytes:
        self.read += size
        assert self.read <= MAX_TRAILING_BYTES + READ_BYTES, "reading has no limit"
        return bytes(size)


def test_a_client_that_sends_without_end_starves_no_other_greenlet() -> None:
    client: Any = EndlessClient()
    seen: list[int] = []

    def watch() -> None:
        for _ in range(5):
            seen.append(client.read)
            gevent.sleep(0)

    watcher = gevent.spawn(watch)
    _Connection(client, MAX_REQUEST_BYTES).finish(b"answer")
    watcher.join(5)
    assert len(set(seen)) == 5 and max(seen) < MAX_TRAILING_BYTES
