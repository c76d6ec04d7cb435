"""Runs the turns at one softswitch: tries the next step, drains on its own turn, withholds servers on theirs.

What to do is decided in `order.py` and `steps.py`. While the store is away what runs goes on as it last was:
a withheld server stays withheld, a drained softswitch drained, and nothing new begins.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import gevent
from gevent.event import Event

from pearloom.coordination import Link, Outcome, Snapshot, Transaction
from pearloom.coordination.timing import contention_delay_ms
from pearloom.core.config import Server
from pearloom.core.counters import Counters
from pearloom.core.logs import log_event, log_exception
from pearloom.interface import PoolState
from pearloom.maintenance import records, steps
from pearloom.maintenance.capacity import outstanding_set_ups, with_capacities
from pearloom.maintenance.order import Fleet, Machine, WaitReason, wait_reasons
from pearloom.maintenance.outages import zones_with_outage
from pearloom.maintenance.records import Limits, MachineKind, Phase, Slots, StoredSlot
from pearloom.maintenance.steps import LocalSoftswitch, Step
from pearloom.membership.host import MemberHost
from pearloom.membership.view import Condition

LOOK_S = 0.25  # between looks when nothing changed: phases end by time
LOOK_FIRST_S = 0.02  # after a change: what came with it is taken in one look


@dataclass(frozen=True, slots=True)
class MaintenanceCallbacks:
    """What a turn does to this softswitch, and what it has to know of it."""

    drain: Callable[[], object]
    activate: Callable[[], object]
    is_idle: Callable[[], bool]
    withhold: Callable[[Iterable[str]], None]
    servers: Callable[[], Iterable[Server]]
    halted: Callable[[], bool]  # has a rollout just halted?


class MaintenanceHost:
    """One softswitch's part in the turns of the fleet."""

    def __init__(
        self,
        link: Link,
        member: MemberHost,
        counters: Counters,
        limits: Limits,
        hands: MaintenanceCallbacks,
        now_ms: Callable[[], float],
    ) -> None:
        """Takes no part before `start`."""
        self._link, self._member, self._counters = link, member, counters
        self._limits, self._hands, self._now_ms = limits, hands, now_ms
        self._seen_ms: dict[tuple[str, int], float] = {}
        self._tried: dict[tuple[str, Phase | None], float] = {}
        self._drains = False
        self._wake = Event()
        link.on_change.append(self._changed)

    def start(self) -> None:
        """Take part from now on."""
        gevent.spawn(self._run)

    # --- what is there --------------------------------------------------------------------------------------
    @property
    def slots(self) -> Slots | None:
        """As last read; None before the store was ever read."""
        snapshot = self._link.snapshot
        return None if snapshot is None else records.read_slots(snapshot)

    def fleet(self) -> Fleet:
        """All machines as this softswitch sees them now."""
        view = self._member.view
        machines = [
            Machine(
                MachineKind.SOFTSWITCH,
                one.name,
                one.zone,
                "",
                one.condition is Condition.LIVE,
                1.0,
                one.incarnation,
            )
            for one in view.members
        ]
        machines += [
            Machine(
                MachineKind.SERVER, one.entry.server, one.zone, f"cell-{one.entry.cell}",
                one.entry.state is PoolState.READY, 1.0, one.entry.started_us,
            )
            for one in self._hands.servers()
        ]  # fmt: skip
        slots = self.slots
        return Fleet(
            with_capacities(machines, view.members), self._link.is_fresh,
            zones_with_outage=frozenset() if slots is None else zones_with_outage(machines, slots),
            has_recent_halt=self._hands.halted(), load=outstanding_set_ups(view.members),
        )  # fmt: skip

    def waiting(self) -> list[tuple[StoredSlot, WaitReason | None]]:
        """The queue and what each waits for."""
        slots = self.slots
        return [] if slots is None else wait_reasons(slots, self.fleet())

    def read_again(self) -> None:
        """Before an operator's step is computed again."""
        self._link.read_again()

    def commit(self, attempt: Transaction) -> Outcome:
        """An operator's own step."""
        return self._link.commit(attempt)

    # --- the loop -------------------------------------------------------------------------------------------
    def _changed(self, snapshot: Snapshot) -> None:
        slots, now = records.read_slots(snapshot), self._now_ms()
        there = {(held.slot.id, held.mod_revision) for held in slots.slots}
        self._seen_ms = {key: self._seen_ms.get(key, now) for key in there}
        self._follow(slots)
        self._wake.set()

    def _follow(self, slots: Slots) -> None:
        """Do here what the turns say: withhold, drain, take up again."""
        held = [one.slot for one in slots.slots if one.slot.phase in (Phase.DRAINING, Phase.OUT)]
        self._hands.withhold(slot.machine for slot in held if slot.kind is MachineKind.SERVER)
        me, life = self._member.name, self._member.incarnation
        drains = any(
            slot.kind is MachineKind.SOFTSWITCH and slot.machine == me and slot.grant == life
            and not slot.note.startswith(steps.DIED_PREFIX)
            for slot in held
        )  # fmt: skip
        if drains != self._drains:
            self._drains = drains
            log_event(logging.INFO, "maintenance_drains" if drains else "maintenance_over", softswitch=me)
            (self._hands.drain if drains else self._hands.activate)()

    def _run(self) -> None:
        while True:
            self._wake.wait(LOOK_S)
            self._wake.clear()
            gevent.sleep(LOOK_FIRST_S)
            try:
                self._member.refresh_view()
                self._once()
            except Exception:
                log_exception("maintenance_failed")

    def _once(self) -> None:
        slots = self.slots
        if slots is None or not self._link.may_act() or not self._link.is_fresh:
            return
        adopted = records.adopt_limits(slots, self._limits)
        if adopted is not None:
            self._link.commit(adopted)
            return
        idle = self._drains and self._hands.is_idle()
        own = LocalSoftswitch(self._member.name, self._member.incarnation, idle, self._link.may_act())
        step = steps.next_step(slots, self.fleet(), own, self._seen_ms, self._now_ms())
        if step is None:
            self._tried.clear()
        elif self._is_time(step):
            self._try(step)

    def _is_time(self, step: Step) -> bool:
        """Own steps at once; those that anybody may do after the others before this one had their time."""
        now, key = self._now_ms(), (step.slot, step.to)
        first = self._tried.setdefault(key, now)
        acting = [member.name for member in self._member.view.live_members]
        mine = step.machine == self._member.name and step.to is not Phase.GRANTED
        return mine or now - first >= contention_delay_ms(step.slot, self._member.name, acting)

    def _try(self, step: Step) -> None:
        # Asked again directly before the deed: this process may have slept since the step was computed.
        outcome = self._link.commit(step.transaction) if self._link.may_act() else Outcome.LOST
        self._tried.clear()
        self._counters.add(f"maintenance_steps_{outcome.value}")
        if outcome is Outcome.WON:
            to = step.to.value if step.to else "deleted"
            log_event(logging.INFO, "maintenance", slot=step.slot, machine=step.machine, to=to, why=step.why)
