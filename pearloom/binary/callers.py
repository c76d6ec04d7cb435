"""The server side: callers that bring set-ups over the binary protocol."""

from __future__ import annotations

import logging
import math
import re
from collections import OrderedDict, deque
from collections.abc import Callable
from itertools import islice

import gevent
from gevent import socket

from pearloom.binary.connection import UNHEARD_MS, CallerConnection
from pearloom.binary.isup import Code, Message
from pearloom.core.calls import Caller, SetUpRequest
from pearloom.core.clock import Clock
from pearloom.core.config import Address, Config
from pearloom.core.connection import accept_connections
from pearloom.core.counters import Counters
from pearloom.core.exchange import Exchange
from pearloom.core.logs import log_event
from pearloom.core.set_up_validation import SetUpValidator

CONNECTIONS_SHARE = 0.6  # x descriptors: callers hold at most a third; the rest is for servers and files
BASE_MB = 14.0  # what the program takes with no connection
CONNECTION_MB = 0.04  # and for each: they may take half of the rest of the memory
BACKLOG = 512
ACCEPTS_A_TURN = 16  # then those that are connected have their turn
WATCH_MS = 250.0  # how often connections are looked at
EVICTED_SHARE = 1 / 32  # x connections: closed at once; to look at all of them for each new one costs much
MOST_LOOKS = 32  # how many of them are asked whether they can go
TALKERS_KEPT = 4  # connections that releases are told on; not closed for others
EMPTY_LOOK_MS = 50.0  # how often connections are looked at while the softswitch is emptied
EMPTY_FOR_MS = 1800.0  # set-ups that come later are refused: after 4 s none younger than 2 s may be open
RELEASES_KEPT = 20_000  # releases that wait for a connection
_MILLISECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{1,6})?")
_FIGURES = re.compile(r"[a-z]{1,16}:-?[0-9]{1,9}(;[a-z]{1,16}:-?[0-9]{1,9}){0,15}")
_FIGURE_BOUNDS = {"width": (1, 8), "via": (-1, 65535), "again": (0, 1)}
Release = tuple[str, int]  # call and cause


class Callers:
    """Listens for callers and spreads what is to be told to them."""

    def __init__(self, exchange: Exchange, clock: Clock, counters: Counters, config: Config) -> None:
        """Listen to nobody yet."""
        self.exchange = exchange
        self.counters = counters
        self.stopping = False
        self.yielded = False  # another process accepts in place of this one
        self.previous_process_connections = 0  # connections of the other process of an upgrade
        self.forward_release: Callable[[str, int], bool] = (
            lambda call, cause: False
        )  # who else can tell a release
        self.listener: socket.socket | None = None
        self._accepting: gevent.Greenlet[..., None] | None = None
        self._drained_since = math.inf
        self._yielded_since = math.inf
        self._looks = False
        self._clock = clock
        self._rules = SetUpValidator(config)
        self._figure_bounds = {**_FIGURE_BOUNDS, "width": (1, config.max_width)}
        room_mb = max(config.memory_mb - BASE_MB, 1.0)
        self.max_connections = int(min(CONNECTIONS_SHARE * config.descriptors, room_mb / 2 / CONNECTION_MB))
        self._connections: dict[CallerConnection, None] = {}
        self._talkers: OrderedDict[CallerConnection, None] = (
            OrderedDict()
        )  # the last to bring a set-up is last
        self._unsent: deque[Release] = deque(maxlen=RELEASES_KEPT)

    def now_ms(self) -> float:
        """The time."""
        return self._clock.now_ms()

    @property
    def is_in_service(self) -> bool:
        """Is the front to send new callers here?"""
        return not self.drained and (self.yielded or not self.stopping)

    @property
    def drained(self) -> bool:
        """Has an operator asked for a drain?"""
        return self._drained_since < math.inf

    @property
    def connections(self) -> int:
        """How many are held."""
        return len(self._connections)

    @property
    def emptied_ms(self) -> float:
        """For how long connections have been emptied; below 0 where they are not."""
        return self._clock.now_ms() - min(self._drained_since, self._yielded_since)

    @property
    def is_refusing(self) -> bool:
        """Has a drain or an upgrade gone on for so long that set-ups are refused?"""
        return self.emptied_ms > EMPTY_FOR_MS

    def drain(self) -> None:
        """Fail tests, and let go of each connection once nothing is under way on it; may be repeated."""
        self._drained_since = min(self._drained_since, self._clock.now_ms())
        self._empty()

    def activate(self) -> None:
        """Take work again; may be repeated."""
        self._drained_since = math.inf

    def stop_accepting(self) -> None:
        """Another process accepts from now on: stop, and let go of what is here."""
        if not self.yielded and self._accepting is not None:
            self._accepting.kill()
            self.yielded, self._yielded_since = True, self._clock.now_ms()
            self._empty()

    def resume_accepting(self) -> None:
        """The other process is gone: accept again."""
        self.yielded, self._yielded_since = False, math.inf
        if self.listener is not None:
            self._accepting = gevent.spawn(self._accept, self.listener)

    @property
    def is_idle(self) -> bool:
        """Is nothing under way on any connection, and nothing left to read or write?"""
        return not any(caller.is_busy for caller in self._connections)

    def close(self) -> None:
        """Take no connection any more and close all: the process is about to end."""
        if self._accepting is not None:
            self._accepting.kill()
        if self.listener is not None:
            self.listener.close()
        for caller in list(self._connections):
            caller.connection.close("stopped")

    def _empty(self) -> None:
        if not self._looks:
            self._looks = True
            self._look()

    def _look(self) -> None:
        self._looks = self.drained or self.yielded
        if self._looks:
            now, emptied = self._clock.now_ms(), self.emptied_ms
            kept = self._keep()
            for caller in list(self._connections):
                if caller not in kept:
                    caller.retire(now, emptied)
            self.exchange.after_ms(EMPTY_LOOK_MS, self._look)

    def _keep(self) -> set[CallerConnection]:
        """Guards against releases of standing calls that have no connection to be told on.

        A connection stays until all that it brought is over: what carries no call is idle. For calls whose
        own connection is gone, the last that dealt with a call stays."""
        if not self.drained or self.yielded or not self.exchange.established_calls:
            return set()  # or the other process has them
        brought = set(self.exchange.callers_of_established())
        kept = {caller for caller in self._connections if caller in brought}
        return kept or set(islice(reversed(self._talkers), 1))

    def listen(self, address: Address) -> Address:
        """Open the listening socket, take connections from now on, and return where."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Guards against a new version that can't start beside one whose handover does not answer.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
        return self.accept_on(sock)

    def accept_on(self, sock: socket.socket) -> Address:
        """Take connections from a listening socket from now on, and return where it listens."""
        self.listener = sock
        self._accepting = gevent.spawn(self._accept, sock)
        self._watch()
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
            if number % ACCEPTS_A_TURN == 0:
                # Guards against hundreds of new connections that keep all others from their turn.
                gevent.sleep(0)

    def _make_room(self) -> bool:
        """Guards against running out of descriptors; where all have set-ups under way there is no room."""
        if len(self._connections) < self.max_connections - self.previous_process_connections:
            return True
        now = self.now_ms()
        kept = set(islice(reversed(self._talkers), TALKERS_KEPT))
        ranked = [
            (rank, number, caller)
            for number, caller in enumerate(self._connections)
            if caller not in kept and (rank := caller.expendable(now)) is not None
        ]
        closed = 0
        # Guards against a crowd that all have something to read: to ask each of them costs too much.
        for (kind, _), _, caller in sorted(ranked)[:MOST_LOOKS]:
            if closed >= max(EVICTED_SHARE * self.max_connections, 1) or (closed and kind > 1):
                break
            if not caller.connection.is_busy:
                closed += 1
                self.counters.add("caller_connections_closed")
                caller.connection.close("too many connections")
        if not closed:
            log_event(logging.WARNING, "caller_connections_full", most=self.max_connections)
        return closed > 0

    def _watch(self) -> None:
        """Called now and then: close what says nothing."""
        now = self.now_ms()
        for caller in list(self._connections):
            if reason := caller.idle_reason(now):
                self.counters.add("caller_connections_closed")
                caller.connection.close(reason)
        self.exchange.after_ms(WATCH_MS, self._watch)

    def talked(self, caller: CallerConnection) -> None:
        """It brought a set-up, or dealt with a release; releases without a connection of their own go there.

        Guards against telling a front's test what it does not understand, or a caller that never speaks."""
        self._talkers[caller] = None
        self._talkers.move_to_end(caller)
        while self._unsent and not caller.connection.closed:
            caller.release(*self._unsent.popleft(), self.now_ms())

    def is_talker(self, caller: CallerConnection) -> bool:
        """Has it brought a set-up?"""
        return caller in self._talkers

    def read_offer(self, message: Message) -> SetUpRequest | None:
        """The set-up in a message, or None where it lacks what a set-up needs."""
        told = message.text(Code.ATTRIBUTES, absent="")
        if told is None or (told and not _FIGURES.fullmatch(told)):
            return None
        figures = {
            key: int(value) for key, _, value in (pair.partition(":") for pair in told.split(";") if pair)
        }
        for key, (least, most) in self._figure_bounds.items():
            if not least <= figures.get(key, least) <= most:
                return None
        patience = message.text(Code.PATIENCE_MS) or ""
        return self._rules.validated_request(
            call=message.call,
            class_name=message.text(Code.CLASS),
            tenant_name=message.text(Code.TENANT, absent=""),
            number=message.text(Code.NUMBER) or "",
            description=message.parameters.get(Code.DESCRIPTION, b""),
            patience_ms=float(patience) if _MILLISECONDS.fullmatch(patience) else 0.0,
            first_choice=figures.get("dest", -1),
            was_cut=figures.get("again") == 1,
        )

    # --- exchange.CallerSide
    def release(self, call: str, cause: int, caller: Caller | None) -> None:
        """Tell the caller that brought the call, else any other, else the next one that connects."""
        self.counters.add("releases_out")
        self._release(call, cause, self._clock.now_ms(), caller)

    def _release(self, call: str, cause: int, since_ms: float, caller: Caller | None) -> None:
        """`since_ms` stays that of the first sending, so that it is not sent again for ever."""
        if isinstance(caller, CallerConnection) and not caller.connection.closed:
            chosen: CallerConnection | None = caller
        else:
            # Guards against connections that never brought a call: nobody may be listening there.
            chosen = next(reversed(self._talkers), None)
        if chosen is None:
            if not self.forward_release(call, cause):
                self._unsent.append((call, cause))
        else:
            chosen.release(call, cause, since_ms)

    def forget(self, caller: CallerConnection) -> None:
        """A connection has ended."""
        self._connections.pop(caller, None)
        self._talkers.pop(caller, None)

    def again(self, unheard: OrderedDict[str, tuple[int, float]]) -> None:
        """Guards against a release that was written to a connection which then broke."""
        since = self._clock.now_ms() - UNHEARD_MS
        for call, (cause, sent_ms) in unheard.items():
            if sent_ms >= since:
                self._release(call, cause, sent_ms, None)
