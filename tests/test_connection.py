"""One connection: a reader that is too slow, and writes that the system takes in parts."""

from __future__ import annotations

import gevent
from gevent import socket

from pearloom.core.connection import MOST_QUEUED, Connection, OutboundMessage
from pearloom.core.errors import Progress


class Pair:
    """A connection and the far end of it, with small buffers between them."""

    def __init__(self) -> None:
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        self.far = socket.socket()
        self.far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.far.connect(listener.getsockname())
        near, _ = listener.accept()
        listener.close()
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        self.closed: list[tuple[str, int]] = []
        self.connection = Connection(near, lambda data: None, lambda: None, self.over)
        self.connection.start()

    def over(self, reason: str, unsent: list[OutboundMessage]) -> None:
        self.closed.append((reason, len(unsent)))


def test_a_reader_that_is_too_slow_is_cut_off_alone() -> None:
    slow, other = Pair(), Pair()
    for _ in range(MOST_QUEUED // 8000 + 2):
        slow.connection.send(OutboundMessage(b"x" * 8000))
    assert [reason for reason, _ in slow.closed] == ["reader too slow"]
    other.connection.send(OutboundMessage(b"answer"))
    with gevent.Timeout(5):
        assert other.far.recv(100) == b"answer"


def test_letters_taken_in_parts_arrive_whole_and_in_order() -> None:
    pair = Pair()
    messages = [OutboundMessage(bytes([number]) * 3000) for number in range(30)]
    for outbound in messages:
        pair.connection.send(outbound)
    gevent.sleep(0.01)
    assert messages[0].progress is Progress.SENT and messages[-1].progress < Progress.SENT
    got = b""
    with gevent.Timeout(5):
        while len(got) < 90_000:
            got += pair.far.recv(5000)
    gevent.sleep(0.01)
    assert got == b"".join(outbound.data for outbound in messages)
    assert {outbound.progress for outbound in messages} == {Progress.SENT}


def test_a_withdrawn_letter_never_leaves() -> None:
    pair = Pair()
    messages = [OutboundMessage(b"a"), OutboundMessage(b"b"), OutboundMessage(b"c")]
    for outbound in messages:
        pair.connection.send(outbound)
    messages[1].withdrawn = True
    pair.connection.finish()
    with gevent.Timeout(5):
        assert b"".join(iter(lambda: pair.far.recv(10), b"")) == b"ac"
    assert pair.closed == [("done", 0)]


def test_a_connection_with_something_to_write_or_to_read_is_busy() -> None:
    pair = Pair()
    assert not pair.connection.is_busy
    pair.connection.send(OutboundMessage(b"answer"))
    assert pair.connection.is_busy
    with gevent.Timeout(5):
        assert pair.far.recv(100) == b"answer"
        assert not pair.connection.is_busy
        pair.far.sendall(b"set-up")
        assert pair.connection.is_busy
