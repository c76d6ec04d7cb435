"""Attempts at one session server that have ended, and which responses answer them. No I/O.

Guards against a late response to an earlier attempt that ends the current one: attempts of a call share their
Call-ID, and often their connection, and only the number in CSeq tells them apart (RFC 3261, 17.1.3).
"""

from __future__ import annotations

from dataclasses import dataclass

from pearloom.core.recent import RecentValues

ENDED_KEPT_MS = 20_000.0  # for which the final response to an attempt that has ended may still come


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An INVITE that was sent and did not establish its call."""

    sequence: int  # number in CSeq
    connection: int  # number of the connection that it was sent on


@dataclass(frozen=True, slots=True)
class EndedAttempts:
    """The ended attempts of one call at this server."""

    called_number: str
    attempts: tuple[EndedAttempt, ...]  # the latest one is the last


class EndedAttemptLog:
    """Remembers attempts by call for as long as a late response to them may come."""

    def __init__(self) -> None:
        """Start without attempts."""
        self._by_call = RecentValues[EndedAttempts](ENDED_KEPT_MS)

    def record(self, call: str, called_number: str, attempt: EndedAttempt, now_ms: float) -> None:
        """An attempt of which any byte was sent has ended."""
        earlier = self._by_call.get(call)
        attempts = (*earlier.attempts, attempt) if earlier else (attempt,)
        self._by_call.put(call, EndedAttempts(called_number, attempts), now_ms)

    def of_call(self, call: str) -> EndedAttempts | None:
        """Return the attempts of this call; None if none is remembered."""
        return self._by_call.get(call)

    def has(self, call: str, connection: int, sequence: int | None) -> bool:
        """Was an attempt with this CSeq number sent on this connection, and has it ended?

        A response with a number that no attempt had there is the current attempt's: some servers send a fixed
        number."""
        ended = self._by_call.get(call)
        return ended is not None and any(
            attempt.sequence == sequence and attempt.connection == connection for attempt in ended.attempts
        )
