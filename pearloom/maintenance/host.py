"""Runs maintenance at one softswitch: tries the next step, drains in its slot, withholds servers in theirs.

The decisions are in `order.py` and `steps.py`. While the store is unreachable, the last state stays in force:
a withheld server stays withheld, a drained softswitch stays drained, and no slot begins.
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

POLL_S = 0.25  # between checks without a change, as phases end by time
COALESCE_S = 0.02  # after a change, so that changes that arrive together are handled in one check


@dataclass(frozen=True, slots=True)
class MaintenanceCallbacks:
    """What maintenance does at this softswitch, and what it needs to know of it."""

    drain: Callable[[], object]
    activate: Callable[[], object]
    is_idle: Callable[[], bool]
    withhold: Callable[[Iterable[str]], None]
    servers: Callable[[], Iterable[Server]]
    halted: Callable[[], bool]  # whether a rollout has halted recently


class MaintenanceHost:
    """One softswitch's part in the maintenance of the fleet."""

    def __init__(
        self,
        link: Link,
        member: MemberHost,
        counters: Counters,
        limits: Limits,
        callbacks: MaintenanceCallbacks,
        now_ms: Callable[[], float],
    ) -> None:
        """Create the host; it takes part in maintenance from `start` on."""
        self._link, self._member, self._counters = link, member, counters
        self._limits, self._callbacks, self._now_ms = limits, callbacks, now_ms
        self._seen_ms: dict[tuple[str, int], float] = {}
        self._first_due_ms: dict[tuple[str, Phase | None], float] = {}
        self._is_draining = False
        self._wake_up = Event()
        link.on_change.append(self._on_change)

    def start(self) -> None:
        """Start taking part in maintenance."""
        gevent.spawn(self._run)

    @property
    def slots(self) -> Slots | None:
        """The stored slots as last read; None before the first read."""
        snapshot = self._link.snapshot
        return None if snapshot is None else records.read_slots(snapshot)

    def fleet(self) -> Fleet:
        """The fleet as this softswitch sees it now."""
        view = self._member.view
        machines = [
            Machine(
                MachineKind.SOFTSWITCH,
                member.name,
                member.zone,
                "",
                member.condition is Condition.LIVE,
                1.0,
                member.incarnation,
            )
            for member in view.members
        ]
        machines += [
            Machine(
                MachineKind.SERVER, server.entry.server, server.zone, f"cell-{server.entry.cell}",
                server.entry.state is PoolState.READY, 1.0, server.entry.started_us,
            )
            for server in self._callbacks.servers()
        ]  # fmt: skip
        slots = self.slots
        return Fleet(
            with_capacities(machines, view.members), self._link.is_fresh,
            zones_with_outage=frozenset() if slots is None else zones_with_outage(machines, slots),
            has_recent_halt=self._callbacks.halted(), load=outstanding_set_ups(view.members),
        )  # fmt: skip

    def waiting(self) -> list[tuple[StoredSlot, WaitReason | None]]:
        """The queue with the reason for which each slot waits."""
        slots = self.slots
        return [] if slots is None else wait_reasons(slots, self.fleet())

    def read_again(self) -> None:
        """Read the store again, before an operator's step is computed anew."""
        self._link.read_again()

    def commit(self, transaction: Transaction) -> Outcome:
        """Try an operator's step."""
        return self._link.commit(transaction)

    def _on_change(self, snapshot: Snapshot) -> None:
        slots, now = records.read_slots(snapshot), self._now_ms()
        present = {(stored.slot.id, stored.mod_revision) for stored in slots.slots}
        self._seen_ms = {key: self._seen_ms.get(key, now) for key in present}
        self._apply_slots(slots)
        self._wake_up.set()

    def _apply_slots(self, slots: Slots) -> None:
        """Withhold servers, drain or activate this softswitch as the slots say."""
        active = [stored.slot for stored in slots.slots if stored.slot.phase in (Phase.DRAINING, Phase.OUT)]
        self._callbacks.withhold(slot.machine for slot in active if slot.kind is MachineKind.SERVER)
        name, incarnation = self._member.name, self._member.incarnation
        is_draining = any(
            slot.kind is MachineKind.SOFTSWITCH and slot.machine == name and slot.grant == incarnation
            and not slot.note.startswith(steps.DIED_PREFIX)
            for slot in active
        )  # fmt: skip
        if is_draining != self._is_draining:
            self._is_draining = is_draining
            log_event(
                logging.INFO, "maintenance_drains" if is_draining else "maintenance_over", softswitch=name
            )
            (self._callbacks.drain if is_draining else self._callbacks.activate)()

    def _run(self) -> None:
        while True:
            self._wake_up.wait(POLL_S)
            self._wake_up.clear()
            gevent.sleep(COALESCE_S)
            try:
                self._member.refresh_view()
                self._try_next_step()
            except Exception:
                log_exception("maintenance_failed")

    def _try_next_step(self) -> None:
        slots = self.slots
        if slots is None or not self._link.may_act() or not self._link.is_fresh:
            return
        adoption = records.adopt_limits(slots, self._limits)
        if adoption is not None:
            self._link.commit(adoption)
            return
        is_idle = self._is_draining and self._callbacks.is_idle()
        local = LocalSoftswitch(self._member.name, self._member.incarnation, is_idle, self._link.may_act())
        step = steps.next_step(slots, self.fleet(), local, self._seen_ms, self._now_ms())
        if step is None:
            self._first_due_ms.clear()
        elif self._is_due(step):
            self._try(step)

    def _is_due(self, step: Step) -> bool:
        """Whether to try a step now: at once for this softswitch's slot, else after its contention delay."""
        now, key = self._now_ms(), (step.slot, step.to)
        first_due_ms = self._first_due_ms.setdefault(key, now)
        live_names = [member.name for member in self._member.view.live_members]
        is_own = step.machine == self._member.name and step.to is not Phase.GRANTED
        return is_own or now - first_due_ms >= contention_delay_ms(step.slot, self._member.name, live_names)

    def _try(self, step: Step) -> None:
        # Checked again directly before the commit: the process may have been suspended since the computation.
        outcome = self._link.commit(step.transaction) if self._link.may_act() else Outcome.LOST
        self._first_due_ms.clear()
        self._counters.add(f"maintenance_steps_{outcome.value}")
        if outcome is Outcome.WON:
            to = step.to.value if step.to else "deleted"
            log_event(logging.INFO, "maintenance", slot=step.slot, machine=step.machine, to=to, why=step.why)
