"""The connections to one session server: which is used next, and which are closed."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterator

from pearloom.sip.link import IDLE, SPARE, Link

MAX_LINKS = 8  # connections to one server: one that breaks takes an eighth of the set-ups along
# Of one connection, while calls stand whose releases come on it; then another one is opened, on which the
# server repeats them. A lost release is due 8 s after its call's end: as late as that allows, with a dial.
LINK_SILENT_MS = 6500.0
IDLE_SHARE = 0.9  # of the time after which the server closes an idle connection: closed here before that


def _unanswered_count(link: Link) -> int:
    return len(link.unanswered)


class Links:
    """Owns the established connections."""

    def __init__(self, idle_ms: float) -> None:
        """Start without connections; `idle_ms`: after which the server closes an idle one."""
        self._links: list[Link] = []
        self._idle_ms = IDLE_SHARE * idle_ms
        self._dialled_ms = -math.inf  # when a connection was opened last, or tried for a silent one

    def __len__(self) -> int:
        """The number of connections."""
        return len(self._links)

    def __iter__(self) -> Iterator[Link]:
        """Iterate over all connections; they may be closed meanwhile."""
        return iter(list(self._links))

    def add(self, link: Link) -> None:
        """Add an established connection."""
        self._links.append(link)
        self._dialled_ms = link.opened_ms

    def remove(self, link: Link) -> None:
        """Remove a closed connection, if it is one of these."""
        if link in self._links:
            self._links.remove(link)

    def least_used(self) -> Link | None:
        """The connection for the next set-up: the least used of those that have not ended and are not mute.

        Guards against a connection that accepts set-ups and never answers, and so looks like a silent server:
        a mute connection gets no further set-up until a message comes on it."""
        usable = [link for link in self._links if link.mute_since_ms == math.inf and not link.has_ended]
        return min(usable, key=_unanswered_count) if usable else None

    def newest(self) -> Link | None:
        """The connection that was established last, even if it is mute or has ended."""
        return self._links[-1] if self._links else None

    def make_room(self) -> bool:
        """May another one be opened? If there are too many, a mute one without set-ups is closed for it."""
        if len(self._links) < MAX_LINKS:
            return True
        mute = next(
            (link for link in self._links if link.mute_since_ms < math.inf and not link.unanswered), None
        )
        if mute is not None:
            mute.connection.close("mute")
        return mute is not None

    def close_spare(self) -> None:
        """If there are too many connections, close the one that was silent for longest, without set-ups."""
        unused = [link for link in self._links if not link.unanswered]
        if len(self._links) >= MAX_LINKS and unused:
            min(unused, key=lambda link: link.last_message_ms).connection.close(SPARE)

    def discard_call(self, call: str) -> None:
        """Forget a call that has ended."""
        for link in self._links:
            link.calls.discard(call)

    def should_replace_silent(self, now_ms: float, established: Collection[str]) -> bool:
        """Should another connection be opened, since releases may be lost on one? If so, a dial is noted.

        `established`: all calls at the server. Guards against calls that stand for ever since one connection
        of several has fallen silent: what comes on the others says nothing of it. The release of a call
        whose connection has ended may come on any of them."""
        if now_ms - self._dialled_ms < LINK_SILENT_MS:
            return False
        is_needed = any(
            link.calls or self._has_other_calls(established)
            for link in self._links
            if now_ms - link.last_message_ms >= LINK_SILENT_MS
        )
        if is_needed:
            self._dialled_ms = now_ms
        return is_needed

    def _has_other_calls(self, established: Collection[str]) -> bool:
        """Is there a call at the server whose connection is none of these?"""
        return len(established) > sum(len(link.calls) for link in self._links)

    def forget_ended_calls(self, established: Collection[str]) -> None:
        """Forget calls that ended without a release here, such as those that were cut."""
        for link in self._links:
            if len(link.calls) > len(established):
                link.calls.intersection_update(established)

    def close_all(self, reason: str) -> None:
        """Close all connections."""
        for link in self:
            link.connection.close(reason)

    def close_older(self, before_ms: float, reason: str) -> None:
        """Close the connections that were opened before this time."""
        for link in self:
            if link.opened_ms < before_ms:
                link.connection.close(reason)

    def oldest_ms(self) -> float:
        """When the oldest connection was opened; infinite if there is none."""
        return min((link.opened_ms for link in self._links), default=math.inf)

    def last_message_ms(self) -> float:
        """When the last message came on any connection; 0 if there is none."""
        return max((link.last_message_ms for link in self._links), default=0.0)

    def watch(self, now_ms: float) -> None:
        """Close mute, broken and idle connections; called periodically.

        Guards against set-ups that cross the server's close of an idle connection, and so may have run."""
        for link in self:
            link.watch(now_ms)
            if not link.unanswered and now_ms - link.last_used_ms >= self._idle_ms:
                link.connection.close(IDLE)
