"""How an operator's step is written to the store: computed, tried, and computed again where others wrote."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import TypeVar

from pearloom.admin.management import HttpResponse
from pearloom.coordination import Outcome, Transaction

TRIES = 5  # at a store that others write to at the same time
T = TypeVar("T")


def write_with_retries(
    read: Callable[[], T | HttpResponse],
    attempt: Callable[[T], Transaction],
    do: Callable[[Transaction], Outcome],
    read_again: Callable[[], None],
    settled: Callable[[Outcome], HttpResponse],
    refusal: type[Exception],
) -> HttpResponse:
    """`read` gives what the step is computed from, or the answer where it is none; `settled` answers a step
    that won, or whose outcome is not known; `refusal` is raised by a step that can't be taken."""
    for tried in range(TRIES):
        there = read()
        if isinstance(there, HttpResponse):
            return there
        try:
            outcome = do(attempt(there))
        except refusal as trouble:
            if tried:
                return conflict(str(trouble))
            # Guards against a refusal that rests on what the watch has not told yet.
            read_again()
            continue
        if outcome is not Outcome.LOST:
            return settled(outcome)
        read_again()
    return conflict("others wrote at the same time, again and again: try once more")


def bad_request(what: str) -> HttpResponse:
    """The body is not as it should be."""
    return HttpResponse(HTTPStatus.BAD_REQUEST, f"{what}\n")


def conflict(what: str) -> HttpResponse:
    """The step can't be taken as things stand."""
    return HttpResponse(HTTPStatus.CONFLICT, f"{what}\n")


def store_unavailable() -> HttpResponse:
    """Nothing can be read or begun now."""
    return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE, "the store does not answer: nothing was changed\n")
