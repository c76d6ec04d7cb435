"""Limits the releases of calls that this process does not know, as after a restart."""

from __future__ import annotations

from pearloom.core.counters import Counters
from pearloom.core.finished_calls import FinishedCalls
from pearloom.core.token_bucket import TokenBucket

PER_S = 500.0
BURST = 4000.0  # as many calls may have stood at a restart


class UnknownReleases:
    """Decides which of them are passed on: to all servers, or to any caller.

    Guards against a peer that sends such releases, under ever new ids, at full speed."""

    def __init__(self, finished: FinishedCalls, counters: Counters, now_ms: float) -> None:
        """Take the calls that are known to be over."""
        self._finished, self._counters = finished, counters
        self._bucket = TokenBucket(PER_S, BURST, now_ms)

    def may_pass_on(self, call_id: str, now_ms: float) -> bool:
        """Decide, once for each id, whether a release is passed on."""
        if call_id in self._finished:
            return False
        if not self._bucket.take(now_ms):
            self._counters.add("unknown_releases_dropped")
            return False
        self._finished.add_unknown(call_id, now_ms)
        return True
