"""The operators' calls for the fleet's members: who is in, and taking one out that will not come back."""

from __future__ import annotations

from http import HTTPStatus

from pearloom.admin.management import HttpRequest, HttpResponse, Routes
from pearloom.coordination import Outcome
from pearloom.membership.host import MemberHost
from pearloom.membership.view import Condition


class MemberCalls:
    """Answers the calls."""

    def __init__(self, host: MemberHost) -> None:
        """Asks this softswitch's own view."""
        self._host = host

    def routes(self) -> Routes:
        """What can be asked."""
        return {
            "/v1/members": {"GET": lambda ask: self._show()},
            "/v1/members/": {"DELETE": self._remove},
        }

    def _show(self) -> HttpResponse:
        view = self._host.view
        lines = [
            f"member={one.name} condition={one.condition.value} zone={one.zone or '-'}"
            f" incarnation={one.incarnation}\n"
            for one in view.members
        ]
        return HttpResponse(HTTPStatus.OK, "".join([f"view={view.revision}\n", *lines]))

    def _remove(self, ask: HttpRequest) -> HttpResponse:
        """Guards against one that is gone for good and counts as out for ever; not one that may live."""
        member = self._host.view.find(ask.rest)
        if member is None:
            return HttpResponse(HTTPStatus.NOT_FOUND, f"no member {ask.rest[:64]!r}\n")
        if member.condition not in (Condition.AWAY, Condition.UNREADABLE):
            return HttpResponse(HTTPStatus.CONFLICT, f"{member.name} is {member.condition.value}, not away\n")
        outcome = self._host.remove(member.name)
        if outcome is Outcome.WON:
            return HttpResponse(HTTPStatus.OK, "ok\n")
        return HttpResponse(
            HTTPStatus.SERVICE_UNAVAILABLE, "the store did not take it: look, and try again\n"
        )
