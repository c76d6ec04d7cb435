"""Turns of work, and what may be queued on connections."""

from __future__ import annotations

import gevent

from pearloom.core.connection import READ_PAUSE_COST, Connection, OutboundMessage
from pearloom.core.queue_budget import QUEUES_SHARE, QueueBudget, queued_cost
from pearloom.core.turns import WORK_PER_TURN, TurnQueue
from tests.sockets import small_buffer_pair


def test_greenlets_with_more_work_take_turns() -> None:
    """Guards against one of them that takes its next turn before the others have had one."""
    turns, order = TurnQueue(), list[str]()

    def work(name: str) -> None:
        for _ in range(4):
            turns.wait()
            order.append(name)

    gevent.joinall([gevent.spawn(work, name) for name in "abc"])
    assert order == list("abc") * 4


def test_sockets_are_looked_at_between_two_turns() -> None:
    """Guards against `gevent.sleep(0)`, which lets 50 turns pass before that."""
    near, far = small_buffer_pair()
    turns, turns_taken = TurnQueue(), 0
    read_after: list[int] = []

    def receive() -> None:
        near.recv(1)
        read_after.append(turns_taken)

    receiving = gevent.spawn(receive)
    gevent.sleep(0.01)
    far.sendall(b"x")
    for _ in range(20):
        turns.wait()
        turns_taken += 1
    receiving.join(1)
    assert read_after and read_after[0] <= 2


class Peer:
    """A connection whose messages are single bytes, each answered with the same number of bytes."""

    def __init__(self, budget: QueueBudget, answer_bytes: int) -> None:
        sock, self.sock = small_buffer_pair()
        self.handled, self.closed = 0, list[str]()
        self._answer_bytes = answer_bytes
        self.connection = Connection(
            sock,
            self.on_data,
            lambda: None,
            lambda reason, _: self.closed.append(reason),
            budget,
            TurnQueue(),
        )
        self.connection.start()

    def on_close(self, reason: str, unsent: list[OutboundMessage]) -> None:
        self.closed.append(reason)

    def on_data(self, data: bytes) -> None:
        for _ in data:
            if not self.connection.begin_message(1):
                return
            self.handled += 1
            self.connection.send(OutboundMessage(b"a" * self._answer_bytes))


def test_nothing_more_is_read_from_a_peer_that_does_not_read_its_answers() -> None:
    """Guards against short answers whose objects fill the memory within the bound on their bytes."""
    peer = Peer(QueueBudget(192.0), answer_bytes=11)
    peer.sock.sendall(b"m" * 4000)
    gevent.sleep(0.3)
    most_queued = READ_PAUSE_COST + WORK_PER_TURN * queued_cost(b"a" * 11)
    assert 0 < peer.handled < 4000 and peer.connection.queued_cost <= most_queued
    received = 0
    with gevent.Timeout(5):
        while received < 4000 * 11:
            received += len(peer.sock.recv(65536))
    assert peer.handled == 4000 and not peer.closed


def test_the_longest_queue_is_closed_once_all_together_are_too_long() -> None:
    budget = QueueBudget(1.0)
    peers = [Peer(budget, answer_bytes=1) for _ in range(4)]
    one = OutboundMessage(b"x" * 20_000)
    sizes = int(QUEUES_SHARE * 2**20) // queued_cost(one.data)
    for number in range(sizes):
        peers[0 if number < 3 else number % 3 + 1].connection.send(OutboundMessage(one.data))
    assert not any(peer.closed for peer in peers)
    for _ in range(2):
        peers[0].connection.send(OutboundMessage(one.data))
    assert [len(peer.closed) for peer in peers] == [1, 0, 0, 0]
