"""All connections to one session server: which one is used next, and which may be closed."""

from __future__ import annotations

import math
from collections.abc import Iterator

from pearloom.sip.link import Link

MOST_LINKS = 8  # connections to one server: what one of them breaks is an eighth of what is open
IDLE_SHARE = 0.9  # x the time after which the server closes an idle connection: closed here before


def _open_on(link: Link) -> int:
    return len(link.open)


class Links:
    """Owns the connections that are up."""

    def __init__(self, idle_ms: float) -> None:
        """None yet; `idle_ms`: after which the server closes one that is idle."""
        self._links: list[Link] = []
        self._idle_ms = IDLE_SHARE * idle_ms

    def __len__(self) -> int:
        """How many are up."""
        return len(self._links)

    def __iter__(self) -> Iterator[Link]:
        """Each of them; it may be closed meanwhile."""
        return iter(list(self._links))

    def add(self, link: Link) -> None:
        """It has come up."""
        self._links.append(link)

    def remove(self, link: Link) -> None:
        """It is closed; harmless where it never was among these."""
        if link in self._links:
            self._links.remove(link)

    def best(self) -> Link | None:
        """The one for the next set-up: the least used of those that speak and have not ended.

        Guards against a connection that takes set-ups and says nothing, and so looks like a silent server: a
        mute one gets no further set-up until it speaks again."""
        usable = [link for link in self._links if link.mute_ms == math.inf and not link.ended]
        return min(usable, key=_open_on) if usable else None

    def newest(self) -> Link | None:
        """The last to come up, whatever has become of it."""
        return self._links[-1] if self._links else None

    def make_room(self) -> bool:
        """May another one be opened? Where there are too many, a mute one without set-ups goes for it."""
        if len(self._links) < MOST_LINKS:
            return True
        mute = next((link for link in self._links if link.mute_ms < math.inf and not link.open), None)
        if mute is not None:
            mute.connection.close("mute")
        return mute is not None

    def spare_one(self) -> None:
        """Where there are too many, close one without set-ups."""
        unused = next((link for link in self._links if not link.open), None)
        if len(self._links) >= MOST_LINKS and unused is not None:
            unused.connection.close("spare")

    def close_all(self, reason: str) -> None:
        """Close each of them."""
        for link in self:
            link.connection.close(reason)

    def close_older(self, than_ms: float, reason: str) -> None:
        """Close those that were opened before this time."""
        for link in self:
            if link.opened_ms < than_ms:
                link.connection.close(reason)

    def oldest_ms(self) -> float:
        """When the oldest of them came up."""
        return min((link.opened_ms for link in self._links), default=math.inf)

    def heard_ms(self) -> float:
        """When anything came last on one of them."""
        return max((link.heard_ms for link in self._links), default=0.0)

    def watch(self, now_ms: float) -> None:
        """Close what is of no further use.

        Guards against set-ups that cross the server's close of an idle connection, and so may have run."""
        for link in self:
            link.watch(now_ms)
            if not link.open and now_ms - link.used_ms >= self._idle_ms:
                link.connection.close("idle")
