"""Management calls for maintenance: request slots for machines, list the queue, cancel a request.

| call | what it does |
| --- | --- |
| `POST /v1/work` | requests a maintenance slot for each machine named |
| `GET /v1/work` | lists the queue, the machines that are out, and what each slot waits for |
| `DELETE /v1/work/ID` | cancels a request; a machine that drains returns to service |
| `POST /v1/work/ID` | reports that a machine that was out is back |
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

MAX_MACHINES = 64  # in one call


class _Machine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    kind: MachineKind
    name: str


class _MaintenanceRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    machines: list[_Machine]
    urgent: bool = False
    reason: str = ""


class MaintenanceCalls:
    """Handles the management calls under /v1/work; each may wait for the store, in its own greenlet."""

    def __init__(self, host: MaintenanceHost, name: str) -> None:
        """Take the maintenance host; `name`: this softswitch's, stored with each request made here."""
        self._host, self._name = host, name

    def routes(self) -> Routes:
        """Return the handlers by path and method."""
        return {
            "/v1/work": {"GET": lambda request: self._show(), "POST": self._request},
            "/v1/work/": {"DELETE": self._cancel, "POST": self._back},
        }

    # Reading.

    def _show(self) -> HttpResponse:
        slots = self._host.slots
        if slots is None:
            return store_unavailable()
        reasons = {stored.slot.id: wait for stored, wait in self._host.waiting()}
        lines = [f"fresh={str(self._host.fleet().is_fresh).lower()} limits.out={slots.limits.out}"]
        lines += [f"unreadable={key}" for key in slots.unreadable]
        for stored in sorted(slots.slots, key=lambda stored: stored.slot.number):
            slot = stored.slot
            wait = reasons.get(slot.id)
            why = wait.value if wait is not None else slot.note
            lines.append(
                f"turn={slot.id} machine={slot.machine} kind={slot.kind.value} zone={slot.zone or '-'}"
                f" phase={slot.phase.value} urgent={str(slot.urgent).lower()} by={slot.by}"
                f' why="{why or "-"}" reason={msgspec.json.encode(slot.reason).decode()}'
            )
        return HttpResponse(HTTPStatus.OK, "\n".join(lines) + "\n")

    # Writing.

    def _request(self, request: HttpRequest) -> HttpResponse:
        try:
            wanted: _MaintenanceRequest = msgspec.json.decode(request.body, type=_MaintenanceRequest)
        except msgspec.MsgspecError as error:
            return bad_request(str(error))
        if not 0 < len(wanted.machines) <= MAX_MACHINES:
            return bad_request(f"machines: 1 to {MAX_MACHINES} in one call, not {len(wanted.machines)}")
        if len(wanted.reason) > 200 or not wanted.reason.isprintable():
            return bad_request("reason: has to be at most 200 printable signs")
        fleet, slots = self._host.fleet(), list[Slot]()
        for index, item in enumerate(wanted.machines):
            machine = fleet.find(item.kind, item.name)
            if machine is None:
                return bad_request(
                    f"machines[{index}]: no {item.kind.value} {item.name[:32]!r} is known here"
                )
            slot = Slot(
                FORMAT, secrets.token_hex(4), item.kind, item.name, machine.zone, machine.cell, wanted.urgent,
                self._name, wanted.reason, 0,
            )  # fmt: skip
            slots.append(slot)
        response = self._write(lambda present: records.request_slots(present, slots))
        if response.status is HTTPStatus.ACCEPTED and (queue := self._host.slots) is not None:
            # The ids are drawn here: a queue that has them proves the write, whatever their phase is now.
            response = HttpResponse(HTTPStatus.OK) if all(queue.find(slot.id) for slot in slots) else response
        if response.status is not HTTPStatus.OK:
            return response
        return HttpResponse(
            HTTPStatus.OK, "".join(f"turn={slot.id} machine={slot.machine}\n" for slot in slots)
        )

    def _cancel(self, request: HttpRequest) -> HttpResponse:
        return self._write(lambda slots: steps.cancel(slots, request.rest).transaction)

    def _back(self, request: HttpRequest) -> HttpResponse:
        return self._write(lambda slots: steps.mark_returned(slots, request.rest).transaction)

    def _write(self, compute: Callable[[Slots], Transaction]) -> HttpResponse:
        def read() -> Slots | HttpResponse:
            slots = self._host.slots
            return store_unavailable() if slots is None or not self._host.fleet().is_fresh else slots

        return write_with_retries(
            read, compute, self._host.commit, self._host.read_again, _respond, MaintenanceError
        )


def _respond(outcome: Outcome) -> HttpResponse:
    if outcome is Outcome.WON:
        return HttpResponse(HTTPStatus.OK, "ok\n")
    return HttpResponse(HTTPStatus.ACCEPTED, "the store's answer was lost: look at the queue\n")
