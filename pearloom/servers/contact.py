"""What one process knows of its contact with a session server, as an upgrade hands it over. Data only."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Outage:
    """A time without contact, after which another process may serve the server's address. Unix ms."""

    last_sign_ms: float  # of the server, before the outage
    ended_ms: float  # a connection was established again


@dataclass(frozen=True, slots=True)
class Contact:
    """Since when a server is silent, and the outages that its process may not have outlived."""

    silent_since_ms: float  # Unix ms
    unanswered_dials: int  # in a row
    outages: tuple[Outage, ...]

    def as_json(self) -> list[object]:
        """Return the contact as `from_json` reads it."""
        outages = [[outage.last_sign_ms, outage.ended_ms] for outage in self.outages]
        return [self.silent_since_ms, self.unanswered_dials, outages]

    @staticmethod
    def from_json(fields: list[object]) -> Contact:
        """Read a contact; raises ValueError or TypeError if it is malformed."""
        silent_since_ms, unanswered_dials, outages = fields
        if not isinstance(silent_since_ms, float) or not isinstance(unanswered_dials, int):
            raise TypeError("malformed contact")
        if not isinstance(outages, list):
            raise TypeError("malformed contact")
        return Contact(
            silent_since_ms, unanswered_dials, tuple(Outage(float(last), float(end)) for last, end in outages)
        )


@dataclass(frozen=True, slots=True)
class Heard:
    """The last message of a server, and since when its process is known to run. Unix ms."""

    at_ms: float
    known_since_ms: float  # when the connection that it came on was opened, or a call in it established


class ContactTracker(Protocol):
    """Tracks the contact with one server, in the previous and in the next process of an upgrade."""

    @property
    def heard(self) -> Heard:
        """The last message of the server."""

    @property
    def contact(self) -> Contact:
        """What the next process has to know at its start."""

    def inherit(self, contact: Contact) -> None:
        """Go on from what the previous process knew."""

    def record_message(self, now_ms: float, opened_ms: float) -> None:
        """A message came on a connection that was opened at `opened_ms`; either process may have got it."""
