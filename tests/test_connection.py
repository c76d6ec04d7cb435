"""Connections: a reader that is too slow, and writes that the kernel accepts in parts."""

from __future__ import annotations

import gevent

from pearloom.core.connection import MAX_QUEUED_BYTES, Connection, OutboundMessage
from pearloom.core.errors import Progress
from pearloom.core.queue_budget import QueueBudget
from pearloom.core.turns import TurnQueue
from tests.sockets import small_buffer_pair


class ConnectedPair:
    """A connection and the socket of its peer, with small buffers between them."""

    def __init__(self) -> None:
        sock, self.peer = small_buffer_pair()
        self.closed: list[tuple[str, int]] = []
        self.connection = Connection(
            sock, lambda data: None, lambda: None, self.on_close, QueueBudget(192.0), TurnQueue()
        )
        self.connection.start()

    def on_close(self, reason: str, unsent: list[OutboundMessage]) -> None:
        self.closed.append((reason, len(unsent)))


def test_only_the_reader_that_is_too_slow_is_disconnected() -> None:
    slow, healthy = ConnectedPair(), ConnectedPair()
    for _ in range(MAX_QUEUED_BYTES // 8000 + 2):
        slow.connection.send(OutboundMessage(b"x" * 8000))
    assert [reason for reason, _ in slow.closed] == ["reader too slow"]
    healthy.connection.send(OutboundMessage(b"answer"))
    with gevent.Timeout(5):
        assert healthy.peer.recv(100) == b"answer"


def test_messages_accepted_in_parts_arrive_complete_and_in_order() -> None:
    pair = ConnectedPair()
    messages = [OutboundMessage(bytes([number]) * 3000) for number in range(30)]
    for outbound in messages:
        pair.connection.send(outbound)
    gevent.sleep(0.01)
    assert messages[0].progress is Progress.SENT and messages[-1].progress < Progress.SENT
    received = b""
    with gevent.Timeout(5):
        while len(received) < 90_000:
            received += pair.peer.recv(5000)
    gevent.sleep(0.01)
    assert received == b"".join(outbound.data for outbound in messages)
    assert {outbound.progress for outbound in messages} == {Progress.SENT}


def test_a_withdrawn_message_is_not_sent() -> None:
    pair = ConnectedPair()
    messages = [OutboundMessage(b"a"), OutboundMessage(b"b"), OutboundMessage(b"c")]
    for outbound in messages:
        pair.connection.send(outbound)
    messages[1].withdrawn = True
    pair.connection.finish()
    with gevent.Timeout(5):
        assert b"".join(iter(lambda: pair.peer.recv(10), b"")) == b"ac"
    assert pair.closed == [("done", 0)]


def test_a_connection_with_data_to_write_or_to_read_is_busy() -> None:
    pair = ConnectedPair()
    assert not pair.connection.is_busy
    pair.connection.send(OutboundMessage(b"answer"))
    assert pair.connection.is_busy
    with gevent.Timeout(5):
        assert pair.peer.recv(100) == b"answer"
        assert not pair.connection.is_busy
        pair.peer.sendall(b"set-up")
        assert pair.connection.is_busy
