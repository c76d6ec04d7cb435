"""One connection to a session server: its unanswered set-ups, and when it is broken or mute."""

from __future__ import annotations

import itertools
import logging
import math
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from gevent import socket

from pearloom.core.calls import SetUpAttempt
from pearloom.core.connection import Connection, OutboundMessage
from pearloom.core.errors import AttemptError, Malformed, Progress
from pearloom.core.logs import log_event
from pearloom.core.message_reader import MessageReader
from pearloom.interface import Ending
from pearloom.sip import codec as sip

if TYPE_CHECKING:
    from pearloom.sip.trunk import SipTrunk

READ_BYTES = 16 * 1024  # per read; what is read from one connection counts against the memory
PARTIAL_MESSAGE_TIMEOUT_MS = 300.0  # for the rest of a partial message
# Without a message since an unanswered set-up was given up; then the connection is closed and another opened.
# A release that the server sent on it meanwhile is due at its caller within 1 s.
MUTE_TIMEOUT_MS = 750.0
CLOSED_BY_SERVER, IDLE, SPARE = "closed by server", "idle", "spare"  # reasons of a connection's end
ORDERLY_ENDS = frozenset({CLOSED_BY_SERVER, IDLE, SPARE})  # say nothing against the server's process

_numbers = itertools.count()

# What a refusal proves, by its status; any other status from 300 on is an error.
_STATUS_ENDINGS = {
    408: Ending.TIMED_OUT,
    480: Ending.NOT_SENT,
    487: Ending.CANCELLED,
    503: Ending.FULL,
    504: Ending.RESET,
}


def refusal(status: int, why: str) -> AttemptError:
    """Return the error for a final status from 300 on; `why` is the X-Why header."""
    ending = _STATUS_ENDINGS.get(status, Ending.ERROR)
    is_full = ending is Ending.FULL
    return AttemptError(
        Progress.ANSWERED,
        f"{status} {why}".strip(),
        ending,
        processor_full=is_full and why == "acc",
        no_line=is_full and why == "atb",
    )


class OutboundSetUp(OutboundMessage):
    """An INVITE that is being sent, or waits for its answer."""

    __slots__ = ("_may_send", "_on_written", "has_late_answer", "link", "sent_ms", "set_up")

    def __init__(
        self,
        data: bytes,
        set_up: SetUpAttempt,
        may_send: Callable[[OutboundSetUp], bool],
        on_written: Callable[[], None],
    ) -> None:
        """`may_send` is called before the first byte is sent, `on_written` after the last one."""
        super().__init__(data, set_up.request.call)
        self.set_up = set_up
        self.link: Link | None = None
        self.sent_ms = 0.0  # when it was queued at its connection
        self.has_late_answer = False  # an earlier attempt of the call was answered after it had been given up
        self._may_send = may_send
        self._on_written = on_written

    def may_send(self) -> bool:
        """Is the attempt still wanted?"""
        return self._may_send(self)

    def on_written(self) -> None:
        """Report that the last byte was sent."""
        self._on_written()


class Link:
    """One connection to a session server."""

    def __init__(self, trunk: SipTrunk, sock: socket.socket, now_ms: float) -> None:
        """Take an established connection."""
        self._trunk = trunk
        self.number = next(_numbers)  # unique among all connections of this process
        self._reader = MessageReader(sip.Decoder(), lambda: trunk.now_ms)
        self.opened_ms = self.last_message_ms = self.last_used_ms = now_ms
        self.has_ended = False  # the server closed it, and the end is not read yet
        self.mute_since_ms = math.inf  # when a set-up was given up after which no message came
        self.unanswered: dict[str, OutboundSetUp] = {}
        self.calls: set[str] = set()  # established by an answer here; the server releases them here
        self.connection = Connection(
            sock, self._on_data, self._on_ended, self._on_closed, trunk.queue_budget, trunk.turns, READ_BYTES
        )

    def send(self, outbound: OutboundMessage) -> None:
        """Queue a message."""
        self.last_used_ms = self._trunk.now_ms
        self.connection.send(outbound)

    @property
    def is_mute(self) -> bool:
        """Was a set-up given up here, without a message since it was sent?"""
        return self.mute_since_ms < math.inf

    @property
    def is_answered(self) -> bool:
        """Has the server answered, in time, each set-up that was sent here?"""
        return not self.unanswered and not self.is_mute

    def record_message(self, now_ms: float) -> None:
        """A message came on this connection."""
        self.last_message_ms = self.last_used_ms = now_ms

    def log_closed(self, server: str, reason: str, now_ms: float) -> None:
        """Log this connection's end, with the set-ups that end with it (`open`).

        Many lines with spoke=False and a low age: the server closes new connections at once."""
        log_event(
            logging.INFO, "server_closed", server=server, reason=reason, open=len(self.unanswered),
            spoke=self.last_message_ms > self.opened_ms, age_ms=round(now_ms - self.opened_ms),
        )  # fmt: skip

    def watch(self, now_ms: float) -> None:
        """Close this connection if a message stays incomplete; report if it is mute; called periodically."""
        if now_ms - self._reader.partial_since_ms > PARTIAL_MESSAGE_TIMEOUT_MS:
            self._on_malformed(Malformed("cut short", fatal=True))
        elif now_ms - self.mute_since_ms > MUTE_TIMEOUT_MS and not self.unanswered:
            self._trunk.on_link_mute(self)

    def _on_data(self, data: bytes) -> None:
        for message in self._reader.messages(data, self.connection):
            if isinstance(message, Malformed):
                self._on_malformed(message)
                return
            if isinstance(message, sip.Response) and message.is_answer and not message.body:
                self._on_malformed(Malformed("answer without a description", fatal=True))
                return
            self.mute_since_ms = math.inf
            self._trunk.on_message(self, message)

    def _on_malformed(self, message: Malformed) -> None:
        # The rest of the stream can't be decoded, so other set-ups on this connection get no answer either.
        self._trunk.on_malformed(replace(message, fatal=True))
        self.connection.close("malformed")

    def _on_ended(self) -> None:
        self.connection.close(CLOSED_BY_SERVER)

    def _on_closed(self, reason: str, unsent: list[OutboundMessage]) -> None:
        self._trunk.on_link_closed(self, reason, unsent)
