"""Dials one session server: one connection at a time, and again after a failure, in one series."""

from __future__ import annotations

from typing import Protocol

import gevent
from gevent import socket

from pearloom.core.config import Address
from pearloom.servers.directory import Directory
from pearloom.sip.connecting import DialFailure, connect, dial_failure

REDIAL_DELAY_MS = 250.0  # after a failed dial to a server that has calls


class DialOwner(Protocol):
    """What a dialler asks and tells the trunk that it dials for."""

    @property
    def address(self) -> Address:
        """The server's address, as it is listed now."""

    @property
    def needs_connection(self) -> bool:
        """Do established calls, or messages that wait, need a connection?"""

    def on_dial_begun(self) -> None:
        """A dial begins."""

    def on_connected(self, sock: socket.socket) -> None:
        """A connection was established; raises OSError if it is broken already."""

    def on_dial_failed(self, failure: DialFailure) -> None:
        """A dial has failed."""


class Dialler:
    """Owns the dial that is in progress, and the one that is due after a failure."""

    def __init__(self, owner: DialOwner, directory: Directory, timeout_ms: float) -> None:
        """Start without a dial. `timeout_ms`: for a connection to be established."""
        self._owner, self._directory = owner, directory
        self._timeout_s = timeout_ms / 1000.0
        self._is_redial_due = False  # guards against several series of dials to a server that refuses them
        self.is_dialling = False

    def dial(self) -> None:
        """Open a connection, unless one is being opened."""
        if not self.is_dialling:
            self.is_dialling = True
            gevent.spawn(self._dial)

    def _dial(self) -> None:
        self._directory.counters.add("dials")
        self._owner.on_dial_begun()
        address = self._owner.address
        result = connect(address, self._timeout_s)
        self.is_dialling = False
        if isinstance(result, DialFailure):
            self._owner.on_dial_failed(result)
            return
        if address != self._owner.address:
            # Guards against set-ups at the old address of a server that has moved meanwhile.
            result.close()
            self.dial()
            return
        try:
            self._owner.on_connected(result)
        except OSError as error:  # reset at once
            result.close()
            self._owner.on_dial_failed(dial_failure(error))

    def dial_later(self) -> None:
        """Dial again after `REDIAL_DELAY_MS`, if a connection is still needed then."""
        if not self._is_redial_due:
            self._is_redial_due = True
            self._directory.exchange.after_ms(REDIAL_DELAY_MS, self._redial)

    def _redial(self) -> None:
        self._is_redial_due = False
        if self._owner.needs_connection:
            self.dial()
