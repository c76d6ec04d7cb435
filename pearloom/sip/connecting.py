"""Opens connections to session servers; each way in which that fails is a value."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from gevent import socket

from pearloom.core.config import Address


class DialEnd(Enum):
    """What a failed dial says of the server."""

    REFUSED = "refused"  # its machine answers, and nobody listens there
    UNANSWERED = "unanswered"  # nothing came back in time
    NOT_TRIED = "not tried"  # this process has no descriptor left: it says nothing


@dataclass(frozen=True, slots=True)
class DialFailure:
    """A connection that did not come up."""

    end: DialEnd
    reason: str


def connect(address: Address, timeout_s: float) -> socket.socket | DialFailure:
    """Open a TCP connection, waiting for at most `timeout_s`."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as trouble:
        return DialFailure(DialEnd.NOT_TRIED, str(trouble))
    sock.settimeout(timeout_s)
    try:
        sock.connect(address)
    except OSError as trouble:
        sock.close()
        refused = isinstance(trouble, ConnectionRefusedError)
        return DialFailure(DialEnd.REFUSED if refused else DialEnd.UNANSWERED, str(trouble))
    sock.settimeout(None)
    return sock
