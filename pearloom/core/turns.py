"""Turns of work: a greenlet that has more input than one turn takes waits until the others have run.

Guards against one peer at full speed that delays the answers to all others. `gevent.sleep(0)` is no such
wait: gevent runs up to 50 of these callbacks before it looks at the sockets again.
"""

from __future__ import annotations

from collections import deque

import gevent
from gevent.event import Event

WORK_PER_TURN = 8  # units; a message is one, and one more for each WORK_UNIT_BYTES
WORK_UNIT_BYTES = 2048
_POLL_S = 1e-6  # any time above 0: the event loop looks at all sockets before it ends the wait


def let_others_run() -> None:
    """Wait until the event loop has looked at all sockets, and the greenlets that can run have run."""
    gevent.sleep(_POLL_S)


class TurnQueue:
    """Lets one of the greenlets that wait go on in each round of the event loop, the first that came first.

    However many peers send at full speed, the others wait for one turn of work in each round. A semaphore
    does not serve here: the greenlet that has just released it may take it again before those that wait."""

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._waiting: deque[Event] = deque()
        self._is_serving = False

    def wait(self) -> None:
        """Wait for the next turn."""
        turn = Event()
        self._waiting.append(turn)
        if not self._is_serving:
            self._is_serving = True
            gevent.spawn(self._serve)
        turn.wait()

    def _serve(self) -> None:
        while self._waiting:
            let_others_run()
            self._waiting.popleft().set()
        self._is_serving = False


class WorkBudget:
    """What one peer's input may cost before others have their turn."""

    def __init__(self) -> None:
        """Start with a whole turn."""
        self._left = WORK_PER_TURN

    @property
    def is_spent(self) -> bool:
        """Is the work of this turn used up?"""
        return self._left <= 0

    def spend(self, size_bytes: int) -> None:
        """Count a message of this size."""
        self._left -= 1 + size_bytes // WORK_UNIT_BYTES

    def renew(self) -> None:
        """Begin a turn."""
        self._left = WORK_PER_TURN
