"""Management calls for the fleet's members: lists them, and removes one that will not return."""

from __future__ import annotations

from http import HTTPStatus

from pearloom.admin.management import HttpRequest, HttpResponse, Routes
from pearloom.coordination import Outcome
from pearloom.membership.host import MemberHost
from pearloom.membership.view import Condition


class MemberCalls:
    """Handles the management calls under /v1/members."""

    def __init__(self, host: MemberHost) -> None:
        """Take the host that holds this softswitch's view of the members."""
        self._host = host

    def routes(self) -> Routes:
        """Return the handlers by path and method."""
        return {
            "/v1/members": {"GET": lambda request: self._show()},
            "/v1/members/": {"DELETE": self._remove},
        }

    def _show(self) -> HttpResponse:
        view = self._host.view
        lines = [
            f"member={member.name} condition={member.condition.value} zone={member.zone or '-'}"
            f" incarnation={member.incarnation}\n"
            for member in view.members
        ]
        return HttpResponse(HTTPStatus.OK, "".join([f"view={view.revision}\n", *lines]))

    def _remove(self, request: HttpRequest) -> HttpResponse:
        """Remove a member that is away or whose record is unreadable; others may still be live.

        Guards against a member that is gone for good and counts as out of service for ever."""
        member = self._host.view.find(request.rest)
        if member is None:
            return HttpResponse(HTTPStatus.NOT_FOUND, f"no member {request.rest[:64]!r}\n")
        if member.condition not in (Condition.AWAY, Condition.UNREADABLE):
            return HttpResponse(HTTPStatus.CONFLICT, f"{member.name} is {member.condition.value}, not away\n")
        outcome = self._host.remove(member.name)
        if outcome is Outcome.WON:
            return HttpResponse(HTTPStatus.OK, "ok\n")
        return HttpResponse(
            HTTPStatus.SERVICE_UNAVAILABLE, "the store did not take it: look, and try again\n"
        )
