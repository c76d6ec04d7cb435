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
from pearloom.core.logs import log_event, log_exception

READ_BYTES = 64 * 1024
MOST_QUEUED = 128 * 1024  # bytes: what a reader may be behind; 400 such connections still fit the memory
BATCH_BYTES = 32 * 1024  # written by one call
WRITE_S = 2.0  # a peer that takes nothing for this long is as good as gone
LAST_READ_S = 0.05  # after a failed write: what the peer sent before its close is there by then
_PEER_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class OutboundMessage:
    """Bytes to be written; knows how far they have come."""

    __slots__ = ("call", "data", "progress", "withdrawn")

    def __init__(self, data: bytes, call: str = "") -> None:
        """A message that concerns `call`, if any."""
        self.data = data
        self.call = call
        self.progress = Progress.NOT_DIALLED
        self.withdrawn = False

    def on_written(self) -> None:
        """Its last byte has left."""

    def may_send(self) -> bool:
        """Asked right before the first byte is written: is this message still wanted?

        A message that is not has been withdrawn by the time that this returns False."""
        return True


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
        self._sent_of_first = 0  # bytes of the first message that have left
        self._ready = Event()
        self._finishing = False
        self._writes = False
        self.closed = False

    def start(self) -> None:
        """Begin to read; a writer is there from the first message on."""
        gevent.spawn(self._guard, self._read)

    def send(self, outbound: OutboundMessage) -> None:
        """Queue a message; a peer that is too far behind is cut off instead."""
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
            log_exception("connection_close_failed")

    def _guard(self, work: Callable[[], None]) -> None:
        """Exceptions stop here: they end this connection, and the program goes on."""
        try:
            work()
        except OSError as trouble:
            self.close(_reason(trouble))
        except Exception:
            log_exception("connection_failed")
            self.close("failed here")

    @property
    def is_busy(self) -> bool:
        """Is something still to be written, or has something come that was not read yet?"""
        return bool(self._queue) or (not self.closed and self._polled(select.POLLIN) != 0)

    @property
    def peer_ended(self) -> bool:
        """Has the peer closed its side, or the connection broken, be it that nobody has read so far yet?

        Guards against work for a peer whose close stands behind bytes that are still to be read."""
        return self.closed or self._polled(select.POLLRDHUP) & _PEER_ENDED != 0

    def _polled(self, events: int) -> int:
        """What the system says of the socket at this moment; nothing is waited for."""
        poll = select.poll()
        poll.register(self._sock, events)
        found = poll.poll(0)
        return found[0][1] if found else 0

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
                try:
                    self._send_batch()
                except OSError as trouble:
                    self._write_failed(trouble)
                    return
            elif self._finishing:
                self.close("done")
            else:
                self._ready.clear()
                self._ready.wait()

    def _write_failed(self, trouble: OSError) -> None:
        """The peer takes no more: close, but only after what it said before that has been read.

        Guards against an answer that comes together with the close and is lost where a write fails first."""
        gevent.sleep(LAST_READ_S)
        self.close(_reason(trouble))

    def _send_batch(self) -> None:
        """Write what is queued, as much of it as one call takes; one call a message costs too much.

        Guards against messages that are withdrawn while the peer takes nothing: the system is asked to take
        bytes at once or not at all, and what leaves later is chosen anew."""
        batch = self._next_batch()
        data = b"".join([outbound.data for outbound in batch])[self._sent_of_first :]
        if data:
            try:
                # gevent's own third argument, which its types leave out: do not wait.
                sent = self._sock.send(data, 0, 0.0)  # type: ignore[call-arg]
            except BlockingIOError:
                self._await_writable()
                return
            self._mark_sent(batch, self._sent_of_first + sent)
        while self._queue and (self._queue[0].withdrawn or self._queue[0].progress is Progress.SENT):
            self._queued -= len(self._queue.popleft().data)

    def _next_batch(self) -> list[OutboundMessage]:
        """The first messages that are wanted; one of which bytes have left goes on in any case."""
        batch: list[OutboundMessage] = []
        size = 0
        # A message that may not leave can take others of the queue with it, even this whole connection.
        for outbound in list(self._queue):
            begun = outbound.progress is Progress.PARTLY_SENT
            outbound.withdrawn = not begun and (outbound.withdrawn or not outbound.may_send())
            if outbound.withdrawn:
                continue
            if size and size + len(outbound.data) > BATCH_BYTES:
                break
            batch.append(outbound)
            size += len(outbound.data)
        return [outbound for outbound in batch if not outbound.withdrawn]

    def _mark_sent(self, batch: list[OutboundMessage], sent: int) -> None:
        """Note how far each message has come, of which so many bytes in all have left."""
        self._sent_of_first = 0
        for outbound in batch:
            if sent >= len(outbound.data):
                outbound.progress = Progress.SENT
                outbound.on_written()
                sent -= len(outbound.data)
            elif sent:
                outbound.progress = Progress.PARTLY_SENT
                self._sent_of_first, sent = sent, 0

    def _await_writable(self) -> None:
        """Wait until the peer takes more; the wait ends with an error where this side closes meanwhile."""
        with gevent.Timeout(WRITE_S, TimeoutError("the peer takes nothing")):
            # What gevent's own `send` does; it offers no public call that a close from here ends safely.
            self._sock._wait(self._sock._write_event)  # type: ignore[attr-defined]


def accept_connections(listener: socket.socket, at: str) -> Iterator[socket.socket]:
    """Each new connection, for ever.

    Guards against a busy loop when descriptors run out: the connection stays in the queue."""
    while True:
        try:
            sock, _ = listener.accept()
        except OSError as trouble:
            log_event(logging.ERROR, "accept_failed", errno=trouble.errno, at=at)
            gevent.sleep(0.05)
        else:
            yield sock


def _reason(trouble: OSError) -> str:
    return type(trouble).__name__ if trouble.errno is None else f"errno {trouble.errno}"
