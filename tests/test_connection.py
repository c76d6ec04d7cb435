"""One connection: a reader that is too slow, and writes that the system takes in parts."""

from __future__ import annotations

import gevent
from gevent import socket

from pearloom.core.connection import MOST_QUEUED, Connection, Letter
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

    def over(self, reason: str, unsent: list[Letter]) -> None:
        self.closed.append((reason, len(unsent)))


def test_a_reader_that_is_too_slow_is_cut_off_alone() -> None:
    slow, other = Pair(), Pair()
    for _ in range(MOST_QUEUED // 8000 + 2):
        slow.connection.send(Letter(b"x" * 8000))
    assert [reason for reason, _ in slow.closed] == ["reader too slow"]
    other.connection.send(Letter(b"answer"))
    with gevent.Timeout(5):
        assert other.far.recv(100) == b"answer"


def test_letters_taken_in_parts_arrive_whole_and_in_order() -> None:
    pair = Pair()
    letters = [Letter(bytes([number]) * 3000) for number in range(30)]
    for letter in letters:
        pair.connection.send(letter)
    gevent.sleep(0.01)
    assert letters[0].progress is Progress.SENT and letters[-1].progress < Progress.SENT
    got = b""
    with gevent.Timeout(5):
        while len(got) < 90_000:
            got += pair.far.recv(5000)
    gevent.sleep(0.01)
    assert got == b"".join(letter.data for letter in letters)
    assert {letter.progress for letter in letters} == {Progress.SENT}


def test_a_withdrawn_letter_never_leaves() -> None:
    pair = Pair()
    letters = [Letter(b"a"), Letter(b"b"), Letter(b"c")]
    for letter in letters:
        pair.connection.send(letter)
    letters[1].withdrawn = True
    pair.connection.finish()
    with gevent.Timeout(5):
        assert b"".join(iter(lambda: pair.far.recv(10), b"")) == b"ac"
    assert pair.closed == [("done", 0)]


def test_a_connection_with_something_to_write_or_to_read_is_busy() -> None:
    pair = Pair()
    assert not pair.connection.busy
    pair.connection.send(Letter(b"answer"))
    assert pair.connection.busy
    with gevent.Timeout(5):
        assert pair.far.recv(100) == b"answer"
        assert not pair.connection.busy
        pair.far.sendall(b"set-up")
        assert pair.connection.busy
