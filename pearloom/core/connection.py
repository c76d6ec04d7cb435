"""One TCP connection: a greenlet that reads, one that writes, and a bounded queue between."""

from __future__ import annotations

import logging
import select
import socket as plain_socket
from collections import deque
from collections.abc import Callable, Iterator

import gevent
from gevent import socket
from gevent.event import Event

from pearloom.core.errors import Progress
from pearloom.core.logs import crashed, note

READ_BYTES = 64 * 1024
MOST_QUEUED = 128 * 1024  # bytes: what a reader may be behind; 400 such connections still fit the memory
BATCH_BYTES = 32 * 1024  # written by one call
WRITE_S = 2.0  # a peer that takes nothing for this long is as good as gone


class OutboundMessage:
    """Bytes to be written; knows how far they have come."""

    __slots__ = ("call", "data", "progress", "withdrawn")

    def __init__(self, data: bytes, call: str = "") -> None:
        """A message that concerns `call`, if any."""
        self.data = data
        self.call = call
        self.progress = Progress.NOT_DIALLED
        self.withdrawn = False

    def written(self) -> None:
        """Its last byte has left."""


class Connection:
    """Owns a connected socket until either side ends it; exceptions stop here."""

    def __init__(
        self,
        sock: socket.socket,
        on_data: Callable[[bytes], None],
        on_end: Callable[[], None],
        on_close: Callable[[str, list[OutboundMessage]], None],
        read_bytes: int = READ_BYTES,
    ) -> None:
        """`on_end`: the peer sends no more. `on_close`: all is over; what was not written comes with it."""
        sock.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
        self._sock = sock
        self._on_data, self._on_end, self._on_close = on_data, on_end, on_close
        self._read_bytes = read_bytes
        self._queue: deque[OutboundMessage] = deque()
        self._queued = 0
        self._sent_of_first = 0  # bytes of the first outbound that have left
        self._ready = Event()
        self._finishing = False
        self._writes = False
        self.closed = False

    def start(self) -> None:
        """Begin to read; a writer is there from the first outbound on."""
        gevent.spawn(self._guard, self._read)

    def send(self, outbound: OutboundMessage) -> None:
        """Queue a outbound; a peer that is too far behind is cut off instead."""
        outbound.progress = Progress.CONNECTING
        self._queue.append(outbound)
        self._queued += len(outbound.data)
        if self._queued > MOST_QUEUED:
            # Guards against a slow reader that fills the memory.
            self.close("reader too slow")
        self._wake_writer()

    def finish(self) -> None:
        """Close once all that is queued has been written."""
        self._finishing = True
        self._wake_writer()

    def _wake_writer(self) -> None:
        self._ready.set()
        if not self._writes:
            self._writes = True
            gevent.spawn(self._guard, self._write)

    def close(self, reason: str) -> None:
        """Close now."""
        if self.closed:
            return
        self.closed = True
        self._sock.close()
        self._ready.set()
        unsent = [outbound for outbound in self._queue if not outbound.withdrawn]
        self._queue.clear()
        try:
            self._on_close(reason, unsent)
        except Exception:
            crashed("connection_close_failed")

    def _guard(self, work: Callable[[], None]) -> None:
        """Exceptions stop here: they end this connection, and the program goes on."""
        try:
            work()
        except OSError as trouble:
            self.close(_reason(trouble))
        except Exception:
            crashed("connection_failed")
            self.close("failed here")

    @property
    def busy(self) -> bool:
        """Is something still to be written, or has something come that was not read yet?"""
        return bool(self._queue) or (not self.closed and bool(select.select([self._sock], [], [], 0)[0]))

    def _read(self) -> None:
        while not self.closed and not self._finishing:
            data = self._sock.recv(self._read_bytes)
            if self._finishing and data:
                return
            if not data:
                self._on_end()
                return
            self._on_data(data)
            if len(data) == self._read_bytes:
                # Guards against a peer that writes without end and keeps all others from their turn.
                gevent.sleep(0)

    def _write(self) -> None:
        while not self.closed:
            if self._queue:
                self._send_batch()
            elif self._finishing:
                self.close("done")
            else:
                self._ready.clear()
                self._ready.wait()

    def _send_batch(self) -> None:
        """Write what is queued, as much of it as one call takes; one call a outbound costs too much."""
        batch: list[OutboundMessage] = []
        size = 0
        for outbound in self._queue:
            if outbound.withdrawn and outbound.progress < Progress.PARTLY_SENT:
                continue
            if size and size + len(outbound.data) > BATCH_BYTES:
                break
            # While the call may block, each of them may be under way: a withdrawal then comes too late.
            outbound.progress = Progress.PARTLY_SENT
            batch.append(outbound)
            size += len(outbound.data)
        data = b"".join([outbound.data for outbound in batch])[self._sent_of_first :]
        sent = 0
        if data:
            # gevent's own third argument, which its types leave out: a Timeout costs more than the write.
            sent = self._sock.send(data, 0, WRITE_S)  # type: ignore[call-arg]
        rest, self._sent_of_first = self._sent_of_first + sent, 0
        for outbound in batch:
            if rest >= len(outbound.data):
                outbound.progress = Progress.SENT
                outbound.written()
                rest -= len(outbound.data)
            elif rest:
                self._sent_of_first, rest = rest, 0
            else:
                outbound.progress = Progress.CONNECTING
        while self._queue and (self._queue[0].withdrawn or self._queue[0].progress is Progress.SENT):
            self._queued -= len(self._queue.popleft().data)


def accepted(listener: socket.socket, at: str) -> Iterator[socket.socket]:
    """Each new connection, for ever.

    Guards against a busy loop when descriptors run out: the connection stays in the queue."""
    while True:
        try:
            sock, _ = listener.accept()
        except OSError as trouble:
            note(logging.ERROR, "accept_failed", errno=trouble.errno, at=at)
            gevent.sleep(0.05)
        else:
            yield sock


def _reason(trouble: OSError) -> str:
    return type(trouble).__name__ if trouble.errno is None else f"errno {trouble.errno}"
