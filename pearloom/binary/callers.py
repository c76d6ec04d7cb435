"""The callers of the binary protocol: the listener, all their connections, and the releases sent to them."""

from __future__ import annotations

import logging
import math
import re
from collections import OrderedDict, deque
from collections.abc import Callable
from itertools import islice

import gevent
from gevent import socket

from pearloom.binary.connection import RELEASE_RESEND_MS, CallerConnection
from pearloom.binary.isup import Code, Message
from pearloom.core.calls import Caller, SetUpRequest
from pearloom.core.clock import Clock
from pearloom.core.config import Address, Config
from pearloom.core.connection import accept_connections
from pearloom.core.counters import Counters
from pearloom.core.exchange import Exchange
from pearloom.core.logs import log_event
from pearloom.core.set_up_validation import SetUpValidator
from pearloom.core.turns import TurnQueue, let_others_run

CONNECTIONS_SHARE = (
    0.6  # of the descriptors that callers' connections may hold; the rest is for servers and files
)
BASE_MB = 14.0  # memory of the program without any connection
CONNECTION_MB = 0.04  # memory of one connection; all of them may take half of what is left
LISTEN_BACKLOG = 512
ACCEPTS_PER_TURN = 16  # connections accepted before the other greenlets run
TIMEOUT_CHECK_MS = 250.0  # between checks for silent connections
EVICTED_SHARE = 1 / 32  # of the connections, closed at once: ranking all of them for each new one costs much
MAX_EVICTION_CHECKS = 32  # connections of one ranking whose sockets are checked for unread bytes
RELEASE_TARGETS_KEPT = 4  # connections that releases can be sent on; not closed to make room
EMPTYING_CHECK_MS = 50.0  # between checks for idle connections while this softswitch is emptied
REFUSE_AFTER_MS = 1800.0  # of emptying, so that 4 s after its start no unanswered set-up is younger than 2 s
MAX_UNSENT_RELEASES = 20_000  # releases that wait for a connection
_MILLISECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{1,6})?")
_ATTRIBUTES = re.compile(r"[a-z]{1,16}:-?[0-9]{1,9}(;[a-z]{1,16}:-?[0-9]{1,9}){0,15}")
_ATTRIBUTE_BOUNDS = {"width": (1, 8), "via": (-1, 65535), "again": (0, 1)}
Release = tuple[str, int]  # call and cause


class Callers:
    """Accepts callers' connections, closes them, and chooses the connection for each release."""

    def __init__(self, exchange: Exchange, clock: Clock, counters: Counters, config: Config) -> None:
        """Start without a listening socket."""
        self.exchange = exchange
        self.counters = counters
        self.stopping = False
        self.yielded = False  # the next process accepts connections in place of this one
        self.previous_process_connections = 0  # connections that the previous process still holds
        # Passes a release to the next process; returns False if there is none.
        self.forward_release: Callable[[str, int], bool] = lambda call, cause: False
        self.listener: socket.socket | None = None
        self._accepting: gevent.Greenlet[..., None] | None = None
        self._drained_since_ms = math.inf
        self._yielded_since_ms = math.inf
        self._checks_emptying = False
        self._clock = clock
        self._validator = SetUpValidator(config)
        self._attribute_bounds = {**_ATTRIBUTE_BOUNDS, "width": (1, config.max_width)}
        room_mb = max(config.memory_mb - BASE_MB, 1.0)
        self.max_connections = int(min(CONNECTIONS_SHARE * config.descriptors, room_mb / 2 / CONNECTION_MB))
        self.turns = TurnQueue()  # of all callers' connections
        self._connections: dict[CallerConnection, None] = {}
        # Connections that can carry releases, in the order of use: the last one is tried first.
        self._release_targets: OrderedDict[CallerConnection, None] = OrderedDict()
        self._unsent_releases: deque[Release] = deque(maxlen=MAX_UNSENT_RELEASES)

    def now_ms(self) -> float:
        """The time of the exchange's clock."""
        return self._clock.now_ms()

    @property
    def is_in_service(self) -> bool:
        """May new callers be sent to this address?"""
        return not self.drained and (self.yielded or not self.stopping)

    @property
    def drained(self) -> bool:
        """Has an operator asked for a drain?"""
        return self._drained_since_ms < math.inf

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    @property
    def emptying_ms(self) -> float:
        """For how long this softswitch has been emptied; negative if it is not."""
        return self._clock.now_ms() - min(self._drained_since_ms, self._yielded_since_ms)

    @property
    def is_refusing(self) -> bool:
        """Has a drain or an upgrade lasted so long that set-ups are refused?"""
        return self.emptying_ms > REFUSE_AFTER_MS

    def drain(self) -> None:
        """Answer tests in the negative and close each connection once it is idle; may be repeated."""
        self._drained_since_ms = min(self._drained_since_ms, self._clock.now_ms())
        self._start_emptying()

    def activate(self) -> None:
        """End a drain; may be repeated."""
        self._drained_since_ms = math.inf

    def stop_accepting(self) -> None:
        """The next process accepts from now on: stop accepting, and close each connection once it is idle."""
        if not self.yielded and self._accepting is not None:
            self._accepting.kill()
            self.yielded, self._yielded_since_ms = True, self._clock.now_ms()
            self._start_emptying()

    def resume_accepting(self) -> None:
        """The next process is gone: accept connections again."""
        self.yielded, self._yielded_since_ms = False, math.inf
        if self.listener is not None:
            self._accepting = gevent.spawn(self._accept, self.listener)

    @property
    def is_idle(self) -> bool:
        """Is no set-up unanswered or partly read on any connection, and nothing left to read or write?"""
        return not any(caller.is_busy for caller in self._connections)

    def close(self) -> None:
        """Stop accepting and close all connections: the process is about to end."""
        if self._accepting is not None:
            self._accepting.kill()
        if self.listener is not None:
            self.listener.close()
        for caller in list(self._connections):
            caller.connection.close("stopped")

    def _start_emptying(self) -> None:
        if not self._checks_emptying:
            self._checks_emptying = True
            self._check_emptying()

    def _check_emptying(self) -> None:
        self._checks_emptying = self.drained or self.yielded
        if self._checks_emptying:
            now, emptying_ms = self._clock.now_ms(), self.emptying_ms
            kept = self._needed_for_releases()
            for caller in list(self._connections):
                if caller not in kept:
                    caller.close_if_idle(now, emptying_ms)
            self.exchange.after_ms(EMPTYING_CHECK_MS, self._check_emptying)

    def _needed_for_releases(self) -> set[CallerConnection]:
        """The connections that a drain keeps open so that established calls can be released on them.

        A connection stays until all calls that it brought have ended; callers see one without calls as idle.
        If the connections of all established calls are gone, the last that carried a call message stays."""
        if not self.drained or self.yielded or not self.exchange.established_calls:
            return set()  # at an upgrade the next process has the calls
        brought = set(self.exchange.established.callers())
        kept = {caller for caller in self._connections if caller in brought}
        return kept or set(islice(reversed(self._release_targets), 1))

    def listen(self, address: Address) -> Address:
        """Open the listening socket, accept connections from now on, and return its address."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Lets a new version start beside a process that does not answer the hand-over.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        sock.listen(LISTEN_BACKLOG)
        return self.accept_on(sock)

    def accept_on(self, sock: socket.socket) -> Address:
        """Accept connections on a listening socket from now on, and return its address."""
        self.listener = sock
        self._accepting = gevent.spawn(self._accept, sock)
        self._close_silent()
        host, port = sock.getsockname()
        return host, port

    def _accept(self, listener: socket.socket) -> None:
        for number, sock in enumerate(accept_connections(listener, "callers"), start=1):
            self.counters.add("caller_connections")
            if self._make_room():
                caller = CallerConnection(self, sock, self.now_ms())
                self._connections[caller] = None
                caller.connection.start()
            else:
                sock.close()
            if number % ACCEPTS_PER_TURN == 0:
                # Guards against hundreds of new connections that keep the other greenlets from running.
                let_others_run()

    def _make_room(self) -> bool:
        """Guards against running out of descriptors; returns False if no connection can be closed."""
        if len(self._connections) < self.max_connections - self.previous_process_connections:
            return True
        now = self.now_ms()
        kept = set(islice(reversed(self._release_targets), RELEASE_TARGETS_KEPT))
        ranked = [
            (rank, number, caller)
            for number, caller in enumerate(self._connections)
            if caller not in kept and (rank := caller.eviction_rank(now)) is not None
        ]
        closed = 0
        # Checking each of a crowd of connections that all have unread bytes would cost too much.
        for (group, _), _, caller in sorted(ranked)[:MAX_EVICTION_CHECKS]:
            if closed >= max(EVICTED_SHARE * self.max_connections, 1) or (closed and group > 1):
                break
            if not caller.connection.is_busy:
                closed += 1
                self.counters.add("caller_connections_closed")
                caller.connection.close("too many connections")
        if not closed:
            log_event(logging.WARNING, "caller_connections_full", most=self.max_connections)
        return closed > 0

    def _close_silent(self) -> None:
        """Close silent connections; runs periodically."""
        now = self.now_ms()
        for caller in list(self._connections):
            if reason := caller.close_reason(now):
                self.counters.add("caller_connections_closed")
                caller.connection.close(reason)
        self.exchange.after_ms(TIMEOUT_CHECK_MS, self._close_silent)

    def add_release_target(self, caller: CallerConnection) -> None:
        """Let this connection, which carried a call message, carry releases of calls whose own one ended.

        Guards against releases on connections that only send tests, or nothing, and don't understand them."""
        self._release_targets[caller] = None
        self._release_targets.move_to_end(caller)
        while self._unsent_releases and not caller.connection.closed:
            caller.release(*self._unsent_releases.popleft(), self.now_ms())

    def is_release_target(self, caller: CallerConnection) -> bool:
        """Has this connection carried a call message?"""
        return caller in self._release_targets

    def read_offer(self, message: Message) -> SetUpRequest | None:
        """Read the set-up in a message; None if it is invalid."""
        text = message.text(Code.ATTRIBUTES, absent="")
        if text is None or (text and not _ATTRIBUTES.fullmatch(text)):
            return None
        attributes = {
            key: int(value) for key, _, value in (pair.partition(":") for pair in text.split(";") if pair)
        }
        for key, (low, high) in self._attribute_bounds.items():
            if not low <= attributes.get(key, low) <= high:
                return None
        patience = message.text(Code.PATIENCE_MS) or ""
        return self._validator.validated_request(
            call=message.call,
            class_name=message.text(Code.CLASS),
            tenant_name=message.text(Code.TENANT, absent=""),
            number=message.text(Code.NUMBER) or "",
            description=message.parameters.get(Code.DESCRIPTION, b""),
            patience_ms=float(patience) if _MILLISECONDS.fullmatch(patience) else 0.0,
            first_choice=attributes.get("dest", -1),
            was_cut=attributes.get("again") == 1,
        )

    def release(self, call: str, cause: int, caller: Caller | None) -> None:
        """Release on the connection that brought the call, else on another, else on the next with calls."""
        self.counters.add("releases_out")
        self._release(call, cause, self._clock.now_ms(), caller)

    def _release(self, call: str, cause: int, since_ms: float, caller: Caller | None) -> None:
        """Send a release; `since_ms` is when it was first sent, so that resending ends."""
        if isinstance(caller, CallerConnection) and not caller.connection.closed:
            chosen: CallerConnection | None = caller
        else:
            # Not on a connection that never carried a call: nothing may read releases from it.
            chosen = next(reversed(self._release_targets), None)
        if chosen is None:
            if not self.forward_release(call, cause):
                self._unsent_releases.append((call, cause))
        else:
            chosen.release(call, cause, since_ms)

    def remove(self, caller: CallerConnection) -> None:
        """Remove a connection that has ended."""
        self._connections.pop(caller, None)
        self._release_targets.pop(caller, None)

    def resend_releases(self, unconfirmed: OrderedDict[str, tuple[int, float]]) -> None:
        """Resend recent releases whose connection ended before they were confirmed."""
        oldest_ms = self._clock.now_ms() - RELEASE_RESEND_MS
        for call, (cause, sent_ms) in unconfirmed.items():
            if sent_ms >= oldest_ms:
                self._release(call, cause, sent_ms, None)
