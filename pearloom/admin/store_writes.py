"""Writes operators' changes to the store; a change is computed anew after a concurrent write."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import TypeVar

from pearloom.admin.management import HttpResponse
from pearloom.coordination import Outcome, Transaction

MAX_TRIES = 5  # at a store that others write to at the same time
T = TypeVar("T")


def write_with_retries(
    read: Callable[[], T | HttpResponse],
    compute: Callable[[T], Transaction],
    commit: Callable[[Transaction], Outcome],
    read_again: Callable[[], None],
    respond: Callable[[Outcome], HttpResponse],
    refusal: type[Exception],
) -> HttpResponse:
    """Commit the transaction that `compute` derives from the state given by `read`.

    `read` returns a response in place of the state where nothing can be computed or no more is to be done.
    `respond` gives the response for a transaction that won or whose outcome is unknown. `compute` raises
    `refusal` for a change that isn't possible."""
    for tries in range(MAX_TRIES):
        state = read()
        if isinstance(state, HttpResponse):
            return state
        try:
            outcome = commit(compute(state))
        except refusal as error:
            if tries:
                return conflict(str(error))
            # Guards against a refusal that rests on a state older than what the watch has yet to report.
            read_again()
            continue
        if outcome is not Outcome.LOST:
            return respond(outcome)
        read_again()
    return conflict("others wrote at the same time, again and again: try once more")


def bad_request(text: str) -> HttpResponse:
    """Return the response for an invalid body."""
    return HttpResponse(HTTPStatus.BAD_REQUEST, f"{text}\n")


def conflict(text: str) -> HttpResponse:
    """Return the response for a change that the current state doesn't allow."""
    return HttpResponse(HTTPStatus.CONFLICT, f"{text}\n")


def store_unavailable() -> HttpResponse:
    """Return the response for a store that can be neither read nor written now."""
    return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE, "the store does not answer: nothing was changed\n")
