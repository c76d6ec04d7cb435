"""Types that the decision module and its host exchange: settings, events and actions.

All times, durations and clock readings alike, are in microseconds. This module holds data only.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class PoolState(Enum):
    """State of a session server in the pool list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a pool list relates to the one before it."""

    CHANGES = "changes"
    COMPLETE = "complete"
    CACHED = "cached"
    FAILED = "failed"


class Ending(Enum):
    """How one attempt or one probe ended."""

    ENDED = "ended"  # the call was established and has been released
    ERROR = "error"
    FULL = "full"  # rejected by the server, so it never ran
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"  # no connection, so it never ran
    RESET = "reset"  # the set-up or the established call was cut
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"  # it never ran


@dataclass(frozen=True, slots=True)
class CallClass:
    """Settings of one call class; an empty `cells` allows every pool."""

    aim_us: int
    deadline_us: int
    worth: float = 1.0
    late_worth: float = 0.0
    repeatable: bool = True
    cells: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Tenant:
    """Settings of one tenant: its fraction of the service."""

    fraction: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings that a softswitch gets when it starts."""

    classes: tuple[CallClass, ...]
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0  # factor of the worth of calls above their tenant's fraction
    fleet_size: int = 1
    answer_slack_us: int = 0  # how long after the caller's patience the final answer may still come
    cold_share: float = 1.0  # of its warm rate that a server can take when it starts
    warm_after_us: int = 0  # time from a server's start until it is warm
    fall_multiple: float = 1.0  # times what a cold server can take: the limit over any `fall_us`
    fall_us: int = 0
    release_us: int = 0  # pause of a call after an attempt that timed out, was cut or was cancelled
    resend_us: int = 0
    max_attempts: int = 1
    ask_within_us: int = 0
    may_cancel: bool = False
    must_ask: bool = False  # the pool list is sent only after a subscription
    marks_redials: bool = False  # callers mark their redials
    most_stay_away_us: int | None = None  # None: no bound; 0: no time is sent to refused callers

    def __post_init__(self) -> None:
        """Raise ValueError, naming the field, where a setting is invalid."""
        if not self.classes:
            raise ValueError("classes: at least one class of calls is needed")
        for name in ("fleet_size", "max_attempts"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: must be 1 or more, not {getattr(self, name)}")
        for name in self.__dataclass_fields__:
            value = getattr(self, name)
            if isinstance(value, int | float) and not value >= 0:
                raise ValueError(f"{name}: must not be negative, not {value}")
        if self.cold_share > 1:
            raise ValueError(f"cold_share: a share is at most 1, not {self.cold_share}")
        for number, call_class in enumerate(self.classes):
            if call_class.aim_us <= 0 or call_class.deadline_us <= 0:
                raise ValueError(f"classes[{number}]: aim_us and deadline_us must be above 0")
            if not call_class.worth >= 0 or not call_class.late_worth >= 0:
                raise ValueError(f"classes[{number}]: worth and late_worth must not be negative")
        for number, tenant in enumerate(self.tenants):
            if not tenant.fraction >= 0:
                raise ValueError(f"tenants[{number}]: fraction must not be negative")

    def stay_away_us(self, wanted_us: int) -> int:
        """Return how long a refused caller is asked to stay away: `wanted_us`, bounded; 0: not asked."""
        return wanted_us if self.most_stay_away_us is None else min(wanted_us, self.most_stay_away_us)


@dataclass(frozen=True, slots=True)
class PoolEntry:
    """One server in the pool list; `started_us` is 0 where the server started long ago."""

    server: str
    cell: int
    state: PoolState
    started_us: int = 0


@dataclass(frozen=True, slots=True)
class PoolList:
    """The pool list, or changes to it, as this softswitch received it."""

    kind: ListKind
    entries: tuple[PoolEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Route:
    """What the operators' routing rules say of one call, among the pools that are open to it anyway.

    `allowed_cells`: the cells that the call may use (None: all), less `closed_cells`. `tiers`: cell -> order,
    lower first; a cell not named has `default_tier`. `weights`: cell -> factor above 0 in a random choice; 1
    where not named."""

    allowed_cells: frozenset[int] | None = None
    closed_cells: frozenset[int] = frozenset()
    tiers: Mapping[int, int] = field(default_factory=dict)
    default_tier: int = 0
    weights: Mapping[int, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CallArrived:
    """A call arrived at this softswitch and needs one final answer.

    `kind` is the index of its class in the settings, `patience_us` how long the caller waits for the answer,
    `number` the called number, if known. `route`: the routing rules at its arrival, which hold for all its
    attempts."""

    call: str
    kind: int
    tenant: int
    patience_us: int
    first_choice: int
    redialled: bool = False
    was_cut: bool = False
    number: str = ""
    route: Route | None = None


@dataclass(frozen=True, slots=True)
class CallStands:
    """A server answered an attempt: the call is established."""

    call: str
    attempt: int
    server: str
    setup_delay_us: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The outcome of an attempt; each attempt has exactly one.

    FULL has one of two reasons: `processor_full`, with `full_wait_us` if the server gave a time to wait, or
    `no_line`: no agent or line was free. `is_connection_fault`: only a connection broke, which says nothing
    of the server. `call_over`: the call needs no further attempt.
    """

    call: str
    attempt: int
    server: str
    ending: Ending
    took_us: int = 0
    call_over: bool = False
    processor_full: bool = False
    no_line: bool = False
    is_connection_fault: bool = False
    full_wait_us: int = 0
    report: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CallGone:
    """The caller left; the call needs no answer any more."""

    call: str


@dataclass(frozen=True, slots=True)
class PoolReport:
    """The result of a probe, or figures that a server sent unasked (`took_us` is then 0).

    `free_lines` and `lines` are the pool's; `wait_ms`, `hold_back` and others its processor's, -1 if unknown.
    """

    server: str
    ending: Ending
    took_us: int
    report: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer that the controller set has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another softswitch, where the host carries such messages."""

    peer: int
    data: bytes


Event = PoolList | CallArrived | CallStands | AttemptEnded | CallGone | PoolReport | TimerDue | PeerMessage


@dataclass(frozen=True, slots=True)
class SendSetUp:
    """Send a set-up; the attempt times out after `timeout_us`."""

    call: str
    server: str
    timeout_us: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel one attempt."""

    call: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused; `wait_us` above 0 asks the caller not to call again for that time."""

    call: str
    wait_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the call has failed."""

    call: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerDue` with this token after this time."""

    after_us: int
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for a report."""

    server: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to the pool list and its changes, or end the subscription."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Request the complete pool list once."""


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: str


@dataclass(frozen=True, slots=True)
class TellPeer:
    """Send a message to one other softswitch, or to all of them (`peer` None)."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Note:
    """Write a line to the operators' log."""

    text: str


Action = (
    SendSetUp
    | CancelAttempt
    | Refuse
    | Fail
    | SetTimer
    | Probe
    | Subscribe
    | FetchList
    | CloseIdle
    | TellPeer
    | Note
)
