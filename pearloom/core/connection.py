"""A TCP connection with a reading greenlet, a writing greenlet and a bounded queue of outbound messages."""

from __future__ import annotations

import errno
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
from pearloom.core.queue_budget import QueueBudget, queued_cost
from pearloom.core.turns import TurnQueue, WorkBudget

READ_BYTES = 64 * 1024  # read by one system call
MAX_QUEUED_BYTES = 128 * 1024  # of data
READ_PAUSE_COST = 64 * 1024  # queued, from which nothing more is read from this peer
BATCH_BYTES = 32 * 1024  # written by one system call
WRITE_TIMEOUT_S = 2.0  # a peer that accepts nothing for this long is considered gone
FINAL_READ_S = 0.05  # after a failed write: by then, what the peer sent before its close has arrived
RESET_REASONS = frozenset(f"errno {code}" for code in (errno.ECONNRESET, errno.EPIPE))
_PEER_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class OutboundMessage:
    """A message to be written, and how much of it has been sent."""

    __slots__ = ("call", "data", "progress", "withdrawn")

    def __init__(self, data: bytes, call: str = "") -> None:
        """Create a message that concerns the call with this id, if any."""
        self.data = data
        self.call = call
        self.progress = Progress.NOT_DIALLED
        self.withdrawn = False

    def on_written(self) -> None:
        """Handle that the last byte was written."""

    def may_send(self) -> bool:
        """Decide, right before the first byte is written, whether this message is still wanted.

        A message that is not wanted has been withdrawn by the time this returns False."""
        return True


class Connection:
    """Owns a connected socket until either side ends it; no exception propagates to the caller."""

    def __init__(
        self,
        sock: socket.socket,
        on_data: Callable[[bytes], None],
        on_end: Callable[[], None],
        on_close: Callable[[str, list[OutboundMessage]], None],
        queue_budget: QueueBudget,
        turns: TurnQueue,
        read_bytes: int = READ_BYTES,
    ) -> None:
        """Take a connected socket.

        `on_data` calls `begin_message` before each message that it handles. `on_end`: the peer sends no more
        data. `on_close`: the connection is closed, with the reason and the messages that were not written.
        `queue_budget`: of all connections. `turns`: of those to the same kind of peer."""
        sock.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
        self._sock = sock
        self._on_data, self._on_end, self._on_close = on_data, on_end, on_close
        self._read_bytes = read_bytes
        self._queue: deque[OutboundMessage] = deque()
        self._queued_bytes = 0
        self.queued_cost = 0  # memory that the queue takes, in bytes
        self._queue_budget = queue_budget
        self._work, self._turns = WorkBudget(), turns
        self._may_read = Event()
        self._may_read.set()
        self._first_sent_bytes = 0  # of the first message in the queue
        self._writer_wake_up = Event()
        self._is_finishing = False
        self._has_writer = False
        self.closed = False

    def start(self) -> None:
        """Start to read; the writer starts with the first message."""
        gevent.spawn(self._run, self._read)

    def send(self, outbound: OutboundMessage) -> None:
        """Queue a message, or close the connection to a peer that reads too slowly."""
        outbound.progress = Progress.CONNECTING
        if self.closed:
            return
        self._queue.append(outbound)
        cost = queued_cost(outbound.data)
        self._queued_bytes += len(outbound.data)
        self.queued_cost += cost
        if self.queued_cost > READ_PAUSE_COST:
            self._may_read.clear()
        self._queue_budget.add(self, cost)
        if self._queued_bytes > MAX_QUEUED_BYTES:
            # Guards against a slow reader that fills the memory.
            self.close("reader too slow")
        self._wake_writer()

    def _drop_first(self) -> None:
        """Remove the first message of the queue."""
        outbound = self._queue.popleft()
        cost = queued_cost(outbound.data)
        self._queued_bytes -= len(outbound.data)
        self.queued_cost -= cost
        self._queue_budget.remove(self, cost)
        if self.queued_cost <= READ_PAUSE_COST:
            self._may_read.set()

    def begin_message(self, size_bytes: int) -> bool:
        """Wait until a message of this size may be handled; return False if the connection has ended.

        Guards against a peer that sends without pause: what it sends is handled a turn at a time, and not at
        all while it does not read what it is sent."""
        if self._work.is_spent:
            self._turns.wait()
            self._may_read.wait()
            self._work.renew()
        self._work.spend(size_bytes)
        return not self.closed

    def finish(self) -> None:
        """Close once all queued messages have been written."""
        self._is_finishing = True
        self._wake_writer()

    def _wake_writer(self) -> None:
        self._writer_wake_up.set()
        if not self._has_writer:
            self._has_writer = True
            gevent.spawn(self._run, self._write)

    def close(self, reason: str) -> None:
        """Close immediately; `on_close` gets the messages that were not written."""
        if self.closed:
            return
        self.closed = True
        self._sock.close()
        self._writer_wake_up.set()
        self._may_read.set()
        unsent = [outbound for outbound in self._queue if not outbound.withdrawn]
        self._queue.clear()
        cost, self.queued_cost = self.queued_cost, 0
        self._queue_budget.remove(self, cost)
        try:
            self._on_close(reason, unsent)
        except Exception:
            log_exception("connection_close_failed")

    def _run(self, work: Callable[[], None]) -> None:
        """Run a greenlet's work; an exception ends this connection only, not the program."""
        try:
            work()
        except OSError as error:
            self.close(_reason(error))
        except Exception:
            log_exception("connection_failed")
            self.close("internal error")

    @property
    def is_busy(self) -> bool:
        """Report whether data waits to be written or to be read."""
        return bool(self._queue) or (not self.closed and self._poll(select.POLLIN) != 0)

    @property
    def peer_ended(self) -> bool:
        """Report whether the peer has closed its side or the connection is broken, even if not yet read.

        Guards against work for a peer whose close follows bytes that are still to be read."""
        return self.closed or self._poll(select.POLLRDHUP) & _PEER_ENDED != 0

    def _poll(self, events: int) -> int:
        """Return the poll events of the socket at this moment, without waiting."""
        poll = select.poll()
        poll.register(self._sock, events)
        found = poll.poll(0)
        return found[0][1] if found else 0

    def _read(self) -> None:
        while not self.closed and not self._is_finishing:
            self._may_read.wait()
            if self._work.is_spent:
                if self._poll(select.POLLIN):
                    self._turns.wait()
                self._work.renew()
            if self.closed:
                return
            data = self._sock.recv(self._read_bytes)
            if self._is_finishing and data:
                return
            if not data:
                self._on_end()
                return
            self._on_data(data)

    def _write(self) -> None:
        while not self.closed:
            if self._queue:
                try:
                    self._send_batch()
                except OSError as error:
                    self._write_failed(error)
                    return
            elif self._is_finishing:
                self.close("done")
            else:
                self._writer_wake_up.clear()
                self._writer_wake_up.wait()

    def _write_failed(self, error: OSError) -> None:
        """Close, but only after what the peer sent before its close has been read.

        Guards against losing an answer that arrives together with the close, where a write fails first."""
        self._may_read.set()
        gevent.sleep(FINAL_READ_S)
        self.close(_reason(error))

    def _send_batch(self) -> None:
        """Write queued messages, as many as one system call takes; a call for each message costs too much.

        Guards against messages that are withdrawn while the peer accepts nothing: the system takes bytes at
        once or not at all, and the next batch is chosen anew."""
        batch = self._next_batch()
        data = b"".join([outbound.data for outbound in batch])[self._first_sent_bytes :]
        if data:
            try:
                # gevent's own third argument, which its type stubs leave out: do not wait.
                sent = self._sock.send(data, 0, 0.0)  # type: ignore[call-arg]
            except BlockingIOError:
                self._await_writable()
                return
            self._mark_sent(batch, self._first_sent_bytes + sent)
        while self._queue and (self._queue[0].withdrawn or self._queue[0].progress is Progress.SENT):
            self._drop_first()

    def _next_batch(self) -> list[OutboundMessage]:
        """Return the first wanted messages; a message that is partly sent is continued in any case."""
        batch: list[OutboundMessage] = []
        size = 0
        # `may_send` can withdraw other messages of the queue, and even close this connection.
        for outbound in list(self._queue):
            is_partly_sent = outbound.progress is Progress.PARTLY_SENT
            outbound.withdrawn = not is_partly_sent and (outbound.withdrawn or not outbound.may_send())
            if outbound.withdrawn:
                continue
            if size and size + len(outbound.data) > BATCH_BYTES:
                break
            batch.append(outbound)
            size += len(outbound.data)
        return [outbound for outbound in batch if not outbound.withdrawn]

    def _mark_sent(self, batch: list[OutboundMessage], sent: int) -> None:
        """Update the progress of each message after `sent` bytes of the batch have been sent in all."""
        self._first_sent_bytes = 0
        for outbound in batch:
            if sent >= len(outbound.data):
                outbound.progress = Progress.SENT
                outbound.on_written()
                sent -= len(outbound.data)
            elif sent:
                outbound.progress = Progress.PARTLY_SENT
                self._first_sent_bytes, sent = sent, 0

    def _await_writable(self) -> None:
        """Wait until the peer accepts data; raises OSError on a time-out or if this side closes meanwhile."""
        with gevent.Timeout(WRITE_TIMEOUT_S, TimeoutError("the peer accepts no data")):
            # The same as gevent's own `send` does; no public call of gevent ends safely at a close from here.
            self._sock._wait(self._sock._write_event)  # type: ignore[attr-defined]


def accept_connections(listener: socket.socket, at: str) -> Iterator[socket.socket]:
    """Yield each new connection, endlessly; `at` names the listener in the log.

    Guards against a busy loop when descriptors run out: the connection stays in the listen queue."""
    while True:
        try:
            sock, _ = listener.accept()
        except OSError as error:
            log_event(logging.ERROR, "accept_failed", errno=error.errno, at=at)
            gevent.sleep(0.05)
        else:
            yield sock


def _reason(error: OSError) -> str:
    return type(error).__name__ if error.errno is None else f"errno {error.errno}"
