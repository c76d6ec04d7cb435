"""Types between the decision module and whoever hosts it: settings, events, actions.

Times are microseconds, durations and clock readings alike. Nothing here decides anything.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class PoolState(Enum):
    """What the pool list says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a pool list is to be read."""

    CHANGES = "changes"
    COMPLETE = "complete"
    CACHED = "cached"
    FAILED = "failed"


class Ending(Enum):
    """How one attempt, or one probe, ended."""

    ENDED = "ended"  # the call stood and was released
    ERROR = "error"
    FULL = "full"  # turned away; proves that it never ran
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"  # no connection; proves that it never ran
    RESET = "reset"  # the set-up, or the standing call, was cut
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"  # proves that it never ran


@dataclass(frozen=True, slots=True)
class CallClass:
    """What is told of one class of calls; an empty `cells` stands for every pool."""

    aim_us: int
    deadline_us: int
    worth: float = 1.0
    late_worth: float = 0.0
    repeatable: bool = True
    cells: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant's part of the service."""

    fraction: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What a proxy is told at its start."""

    classes: tuple[CallClass, ...]
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    fleet_size: int = 1
    answer_slack_us: int = 0
    cold_share: float = 1.0
    warm_after_us: int = 0
    fall_multiple: float = 1.0
    fall_us: int = 0
    release_us: int = 0
    resend_us: int = 0
    max_attempts: int = 1
    ask_within_us: int = 0
    may_cancel: bool = False
    must_ask: bool = False
    marks_redials: bool = False
    most_stay_away_us: int | None = None  # None: no bound; 0: refused callers are told nothing

    def __post_init__(self) -> None:
        """Refuse settings that make no sense, naming the field."""
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
        for number, kind in enumerate(self.classes):
            if kind.aim_us <= 0 or kind.deadline_us <= 0:
                raise ValueError(f"classes[{number}]: aim_us and deadline_us must be above 0")
            if not kind.worth >= 0 or not kind.late_worth >= 0:
                raise ValueError(f"classes[{number}]: worth and late_worth must not be negative")
        for number, tenant in enumerate(self.tenants):
            if not tenant.fraction >= 0:
                raise ValueError(f"tenants[{number}]: fraction must not be negative")

    def stay_away_us(self, wanted_us: int) -> int:
        """How long a refused caller is asked to stay away, where `wanted_us` would be best; 0: not at all."""
        return wanted_us if self.most_stay_away_us is None else min(wanted_us, self.most_stay_away_us)


@dataclass(frozen=True, slots=True)
class PoolEntry:
    """One line of the pool list; `started_us` is 0 where the server has run for long."""

    server: str
    cell: int
    state: PoolState
    started_us: int = 0


@dataclass(frozen=True, slots=True)
class PoolList:
    """The list, or changes to it, as told to this proxy."""

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
    """A call was handed to this proxy and is owed one final answer; `number` is what was dialled, if told.

    `route`: the rules that it arrived under, which hold for all its attempts."""

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
    """An attempt was answered: the call holds."""

    call: str
    attempt: int
    server: str
    setup_delay_us: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The one outcome that each attempt gets; `full_wait_us` where a full processor names one.

    FULL has one of two reasons: `processor_full`, or `no_line`, that no agent or line was free.
    `is_connection_fault`: a connection broke, which says nothing of the server.
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
    """The caller left; nothing is owed any more."""

    call: str


@dataclass(frozen=True, slots=True)
class PoolReport:
    """A probe's result, or figures told unasked (`took_us` is then 0).

    `free_lines` and `lines` are the pool's; `wait_ms`, `hold_back` and others its processor's, -1 if untold.
    """

    server: str
    ending: Ending
    took_us: int
    report: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer that the controller set came due."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another proxy, at places that allow them."""

    peer: int
    data: bytes


Event = PoolList | CallArrived | CallStands | AttemptEnded | CallGone | PoolReport | TimerDue | PeerMessage


@dataclass(frozen=True, slots=True)
class SendSetUp:
    """Send a set-up, to be given up after `timeout_us`."""

    call: str
    server: str
    timeout_us: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    call: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: turned away; `wait_us` above 0 asks the caller to stay away so long."""

    call: str
    wait_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: given up."""

    call: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerDue`."""

    after_us: int
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for a report."""

    server: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for the pool list and its changes."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask once for the complete pool list."""


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: str


@dataclass(frozen=True, slots=True)
class TellPeer:
    """Send a message to one peer, or to all (`peer` None)."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the operators' log."""

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
