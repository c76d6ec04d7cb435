"""One connection to a session server: what came on it, and what its silence means."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from gevent import socket

from pearloom.core.calls import SetUpAttempt
from pearloom.core.connection import Connection, OutboundMessage
from pearloom.core.errors import AttemptError, Malformed, Progress
from pearloom.interface import Ending
from pearloom.sip import codec as sip

if TYPE_CHECKING:
    from pearloom.sip.trunk import SipTrunk

CUT_SHORT_MS = 300.0  # a message that has begun is whole by then, or never
MUTE_MS = 1000.0  # a connection that left a set-up unanswered and says nothing for so long is closed

# How a refusal counts; any other status from 300 on is an error.
_STATUS_ENDINGS = {
    408: Ending.TIMED_OUT,
    480: Ending.NOT_SENT,
    487: Ending.CANCELLED,
    503: Ending.FULL,
    504: Ending.RESET,
}


def refusal(status: int, why: str) -> AttemptError:
    """What a final answer from 300 on says."""
    ending = _STATUS_ENDINGS.get(status, Ending.ERROR)
    full = ending is Ending.FULL
    return AttemptError(
        Progress.ANSWERED,
        f"{status} {why}".strip(),
        ending,
        processor_full=full and why == "acc",
        no_line=full and why == "atb",
    )


class OutboundSetUp(OutboundMessage):
    """An INVITE; on its way or waiting for its answer."""

    __slots__ = ("_may_leave", "_on_written", "link", "sent_ms", "set_up")

    def __init__(
        self,
        data: bytes,
        set_up: SetUpAttempt,
        may_leave: Callable[[OutboundSetUp], bool],
        on_written: Callable[[], None],
    ) -> None:
        """`may_leave` is asked before its first byte leaves, `on_written` called once its last one has."""
        super().__init__(data, set_up.request.call)
        self.set_up = set_up
        self.link: Link | None = None
        self.sent_ms = 0.0  # when it was given to its connection
        self._may_leave = may_leave
        self._on_written = on_written

    def may_send(self) -> bool:
        """Is the call still there, and its caller?"""
        return self._may_leave(self)

    def on_written(self) -> None:
        """Its last byte has left."""
        self._on_written()


class Link:
    """One connection to a session server."""

    def __init__(self, trunk: SipTrunk, sock: socket.socket, now_ms: float) -> None:
        """Take a connection that has come up."""
        self._trunk = trunk
        self._decoder = sip.Decoder()
        self._inside_ms = math.inf  # since when a message has begun and is not whole
        self.opened_ms = self.heard_ms = self.used_ms = now_ms
        self.ended = False  # the server has closed it, which is not read yet
        self.mute_ms = math.inf  # since when a set-up was given up on it that it never said a word after
        self.open: dict[str, OutboundSetUp] = {}
        self.connection = Connection(sock, self._data, self._ended, self._closed)

    def send(self, outbound: OutboundMessage) -> None:
        """Queue a message."""
        self.used_ms = self._trunk.now_ms
        self.connection.send(outbound)

    def heard(self, now_ms: float) -> None:
        """A message came."""
        self.heard_ms = self.used_ms = now_ms

    def watch(self, now_ms: float) -> None:
        """Guards against answers that break off or never end, and connections that nothing comes of."""
        if now_ms - self._inside_ms > CUT_SHORT_MS:
            self._malformed(Malformed("cut short", fatal=True))
        elif now_ms - self.mute_ms > MUTE_MS and not self.open:
            self.connection.close("mute")

    def _data(self, data: bytes) -> None:
        for message in self._decoder.feed(data):
            if isinstance(message, Malformed):
                self._malformed(message)
                return
            if isinstance(message, sip.Response) and message.is_answer and not message.body:
                self._malformed(Malformed("answer without a description", fatal=True))
                return
            self.mute_ms = math.inf
            self._trunk.message(self, message)
        if not self._decoder.inside:
            self._inside_ms = math.inf
        elif self._inside_ms == math.inf:
            self._inside_ms = self._trunk.now_ms

    def _malformed(self, message: Malformed) -> None:
        # Guards against reading on after noise: whatever else is open here gets no answer any more.
        self._trunk.malformed(replace(message, fatal=True))
        self.connection.close("malformed")

    def _ended(self) -> None:
        self.connection.close("closed by server")

    def _closed(self, reason: str, unsent: list[OutboundMessage]) -> None:
        self._trunk.link_closed(self, reason, unsent)
