"""Opens connections to session servers; failures are returned as values, not raised."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from gevent import socket

from pearloom.core.config import Address


class DialFailureKind(Enum):
    """What a failed dial shows about the server."""

    REFUSED = "refused"  # its machine turned the connection away, or reset it before it could be used
    UNANSWERED = "unanswered"  # no reply in time
    NOT_TRIED = "not tried"  # this process has no free descriptor, which shows nothing about the server


@dataclass(frozen=True, slots=True)
class DialFailure:
    """A connection that could not be opened."""

    kind: DialFailureKind
    reason: str


def dial_failure(error: OSError) -> DialFailure:
    """Return what this error of a connection that was being opened shows."""
    is_refused = isinstance(error, ConnectionRefusedError | ConnectionResetError | BrokenPipeError)
    return DialFailure(DialFailureKind.REFUSED if is_refused else DialFailureKind.UNANSWERED, str(error))


def connect(address: Address, timeout_s: float) -> socket.socket | DialFailure:
    """Open a TCP connection, waiting for at most `timeout_s` seconds."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        return DialFailure(DialFailureKind.NOT_TRIED, str(error))
    sock.settimeout(timeout_s)
    try:
        sock.connect(address)
    except OSError as error:
        sock.close()
        return dial_failure(error)
    sock.settimeout(None)
    return sock
