"""Admits new set-ups: there is room for them, their caller is there, and they run at no other process.

While two processes of an upgrade serve side by side, the previous one decides which of them an id belongs to:
the next one claims each id there before it begins a set-up, and the previous one takes none that it granted.
Guards against an id that runs twice since it came again at the other process: what the processes tell each
other now and then is older than a client that left and has come back.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from pearloom.core.calls import Caller, SetUpRequest
from pearloom.core.clock import Clock
from pearloom.core.counters import Counters
from pearloom.core.finished_calls import ATTEMPTED_PER_MB, KEPT_MS
from pearloom.core.pending_limit import PendingLimit
from pearloom.core.recent import RecentIds
from pearloom.core.reporting import OutcomeReporter

CLAIM_TIMEOUT_MS = 250.0  # a previous process that takes longer hangs, and begins nothing either


@dataclass(frozen=True, slots=True)
class _Claim:
    """A set-up whose id has been claimed."""

    request: SetUpRequest
    caller: Caller
    asked_ms: float


class SetUpAdmission:
    """Decides about each new set-up before the decision module receives it."""

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        reporter: OutcomeReporter,
        memory_mb: float,
        stay_away_ms: float,
        begin: Callable[[SetUpRequest, Caller], None],
    ) -> None:
        """Start without set-ups. `stay_away_ms`: in refusals. `begin`: takes each admitted set-up."""
        self._clock, self._counters, self._reporter = clock, counters, reporter
        self._begin, self._stay_away_ms = begin, stay_away_ms
        self._pending = PendingLimit(memory_mb)
        self._claims: dict[str, _Claim] = {}
        self._granted = RecentIds(int(ATTEMPTED_PER_MB * memory_mb), KEPT_MS)
        self.open_elsewhere: set[str] = set()  # ids that the other process of an upgrade has told of
        # Claims an id at the previous process of an upgrade; None where there is none.
        self.send_claim: Callable[[str], None] | None = None

    def __contains__(self, call_id: str) -> bool:
        """Report whether a set-up with this id waits for the previous process."""
        return call_id in self._claims

    @property
    def count(self) -> int:
        """Number of admitted and claimed set-ups without a final answer."""
        return self._pending.count

    def runs_elsewhere(self, call_id: str) -> bool:
        """Report whether this id belongs to the other process of an upgrade."""
        return call_id in self.open_elsewhere or call_id in self._granted

    def handle(self, request: SetUpRequest, caller: Caller) -> None:
        """Admit a set-up, claim its id first, or refuse it where there is no room for it."""
        # Guards also against set-ups followed by a close that is not yet read: nothing would ever end them.
        if not self._pending.has_room(request) or not caller.is_connected:
            self.refuse(request, caller)
            return
        self._pending.add(request)
        if self.send_claim is None:
            self._begin(request, caller)
        else:
            self._claims[request.call] = _Claim(request, caller, self._clock.now_ms())
            self.send_claim(request.call)

    def refuse(self, request: SetUpRequest, caller: Caller) -> None:
        """Refuse a set-up that was not admitted."""
        self._reporter.report_unregistered(request)
        caller.send_refusal(request.call, self._stay_away_ms)

    def finish(self, request: SetUpRequest) -> None:
        """An admitted set-up has its final answer, or needs none."""
        self._pending.remove(request)

    # The next process of an upgrade.

    def settle_claim(self, call_id: str, is_granted: bool) -> None:
        """The previous process has decided about an id, or no longer does."""
        claim = self._claims.pop(call_id, None)
        if claim is None:
            return
        request = claim.request
        request.patience_ms -= self._clock.now_ms() - claim.asked_ms
        if is_granted and claim.caller.is_connected and request.patience_ms > 0:
            self._begin(request, claim.caller)
            return
        self.finish(request)
        if is_granted:
            self.refuse(request, claim.caller)
        else:
            self._counters.add("claims_denied")
            self._reporter.report_unregistered(request)
            claim.caller.send_failure(call_id)

    def settle_overdue(self) -> None:
        """Begin the set-ups whose claims have been unanswered for too long; called periodically."""
        oldest_ms = self._clock.now_ms() - CLAIM_TIMEOUT_MS
        for call_id in [call_id for call_id, claim in self._claims.items() if claim.asked_ms < oldest_ms]:
            self._counters.add("claims_unanswered")
            self.settle_claim(call_id, is_granted=True)

    def end_claims(self) -> None:
        """The previous process has ended: claim nothing more, and begin what waits."""
        self.send_claim = None
        self.open_elsewhere = set()
        for call_id in list(self._claims):
            self.settle_claim(call_id, is_granted=True)

    def withdraw(self, call_id: str) -> bool:
        """Drop a set-up that waits for the previous process; return False if there is none with this id."""
        claim = self._claims.pop(call_id, None)
        if claim is not None:
            self.finish(claim.request)
        return claim is not None

    def refuse_waiting(self) -> None:
        """Refuse all set-ups that wait for the previous process."""
        for call_id, claim in list(self._claims.items()):
            self.withdraw(call_id)
            self.refuse(claim.request, claim.caller)

    # The previous process of an upgrade.

    def grant(self, call_id: str) -> None:
        """Leave this id to the next process."""
        self._granted.add(call_id, self._clock.now_ms())
