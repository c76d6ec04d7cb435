"""The operators' calls for work on machines: ask for turns, see the queue, take one back.

| call | what it does |
| --- | --- |
| `POST /v1/work` | asks for a turn for each machine named |
| `GET /v1/work` | the queue, what is out, and what each turn waits for |
| `DELETE /v1/work/ID` | takes a request back; a machine that drains returns |
| `POST /v1/work/ID` | says that a machine that is out is back |
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from http import HTTPStatus

import msgspec

from pearloom.admin.management import HttpRequest, HttpResponse, Routes
from pearloom.admin.store_writes import bad_request, store_unavailable, write_with_retries
from pearloom.coordination import Outcome, Transaction
from pearloom.maintenance import records, steps
from pearloom.maintenance.host import MaintenanceHost
from pearloom.maintenance.records import FORMAT, MachineKind, MaintenanceError, Slot, Slots

MOST_MACHINES = 64  # in one call


class _Machine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    kind: MachineKind
    name: str


class _Work(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    machines: list[_Machine]
    urgent: bool = False
    reason: str = ""


class MaintenanceCalls:
    """Answers the calls; each may wait for the store, in a greenlet of its own."""

    def __init__(self, host: MaintenanceHost, name: str) -> None:
        """`name`: this softswitch's, noted with each request that comes here."""
        self._host, self._name = host, name

    def routes(self) -> Routes:
        """What can be asked."""
        return {
            "/v1/work": {"GET": lambda ask: self._show(), "POST": self._ask},
            "/v1/work/": {"DELETE": self._cancel, "POST": self._back},
        }

    # --- reading --------------------------------------------------------------------------------------------
    def _show(self) -> HttpResponse:
        slots = self._host.slots
        if slots is None:
            return store_unavailable()
        reasons = {held.slot.id: wait for held, wait in self._host.waiting()}
        lines = [f"fresh={str(self._host.fleet().is_fresh).lower()} limits.out={slots.limits.out}"]
        lines += [f"unreadable={key}" for key in slots.unreadable]
        for held in sorted(slots.slots, key=lambda held: held.slot.number):
            slot = held.slot
            wait = reasons.get(slot.id)
            why = wait.value if wait is not None else slot.note
            lines.append(
                f"turn={slot.id} machine={slot.machine} kind={slot.kind.value} zone={slot.zone or '-'}"
                f" phase={slot.phase.value} urgent={str(slot.urgent).lower()} by={slot.by}"
                f' why="{why or "-"}" reason={msgspec.json.encode(slot.reason).decode()}'
            )
        return HttpResponse(HTTPStatus.OK, "\n".join(lines) + "\n")

    # --- writing --------------------------------------------------------------------------------------------
    def _ask(self, ask: HttpRequest) -> HttpResponse:
        try:
            work: _Work = msgspec.json.decode(ask.body, type=_Work)
        except msgspec.MsgspecError as trouble:
            return bad_request(str(trouble))
        if not 0 < len(work.machines) <= MOST_MACHINES:
            return bad_request(f"machines: 1 to {MOST_MACHINES} in one call, not {len(work.machines)}")
        if len(work.reason) > 200 or not work.reason.isprintable():
            return bad_request("reason: has to be at most 200 printable signs")
        fleet, asked = self._host.fleet(), list[Slot]()
        for at, one in enumerate(work.machines):
            machine = fleet.find(one.kind, one.name)
            if machine is None:
                return bad_request(f"machines[{at}]: no {one.kind.value} {one.name[:32]!r} is known here")
            slot = Slot(
                FORMAT, secrets.token_hex(4), one.kind, one.name, machine.zone, machine.cell, work.urgent,
                self._name, work.reason, 0,
            )  # fmt: skip
            asked.append(slot)
        done = self._write(lambda slots: records.request_slots(slots, asked))
        if done.status is HTTPStatus.ACCEPTED and (now := self._host.slots) is not None:
            # The ids are drawn here: that the queue has them proves it, though they have moved on since.
            done = HttpResponse(HTTPStatus.OK) if all(now.find(slot.id) for slot in asked) else done
        if done.status is not HTTPStatus.OK:
            return done
        return HttpResponse(
            HTTPStatus.OK, "".join(f"turn={slot.id} machine={slot.machine}\n" for slot in asked)
        )

    def _cancel(self, ask: HttpRequest) -> HttpResponse:
        return self._write(lambda slots: steps.cancel(slots, ask.rest).transaction)

    def _back(self, ask: HttpRequest) -> HttpResponse:
        return self._write(lambda slots: steps.mark_returned(slots, ask.rest).transaction)

    def _write(self, attempt: Callable[[Slots], Transaction]) -> HttpResponse:
        def read() -> Slots | HttpResponse:
            slots = self._host.slots
            return store_unavailable() if slots is None or not self._host.fleet().is_fresh else slots

        return write_with_retries(
            read, attempt, self._host.commit, self._host.read_again, _settled, MaintenanceError
        )


def _settled(outcome: Outcome) -> HttpResponse:
    if outcome is Outcome.WON:
        return HttpResponse(HTTPStatus.OK, "ok\n")
    return HttpResponse(HTTPStatus.ACCEPTED, "the store's answer was lost: look at the queue\n")
