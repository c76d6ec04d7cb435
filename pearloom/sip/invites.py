"""The INVITE transactions of one session server: attempts that wait for their final response."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator

from pearloom.core.connection import OutboundMessage
from pearloom.core.errors import AttemptError, Progress
from pearloom.core.exchange import CAUSE_NORMAL
from pearloom.core.logs import log_event
from pearloom.interface import Ending
from pearloom.servers.directory import Directory
from pearloom.sip import codec as sip
from pearloom.sip import requests
from pearloom.sip.ended_attempts import EndedAttempt, EndedAttemptLog
from pearloom.sip.link import Link, OutboundSetUp, refusal
from pearloom.sip.requests import sequence_of


class InviteTransactions:
    """Owns the attempts that are out at one server, and matches its responses and releases with them."""

    def __init__(self, directory: Directory, server: str, release: Callable[[str, str, int], None]) -> None:
        """Start without attempts. `release`: sends a BYE for a call's id, called number and cause."""
        self._directory, self._exchange = directory, directory.exchange
        self._server, self._release = server, release
        self._current: dict[str, OutboundSetUp] = {}
        self._ended = EndedAttemptLog()

    def __len__(self) -> int:
        """The number of attempts that wait for a final response."""
        return len(self._current)

    def __iter__(self) -> Iterator[OutboundSetUp]:
        """Iterate over these attempts; they may end meanwhile."""
        return iter(list(self._current.values()))

    def add(self, outbound: OutboundSetUp) -> None:
        """Add an attempt that is about to be sent."""
        self._current[outbound.call] = outbound

    def take(self, call: str) -> OutboundSetUp | None:
        """Remove the attempt of this call, which is given up, and return it; None where there is none."""
        outbound = self._current.get(call)
        if outbound is not None:
            self._remove(outbound)
        return outbound

    def end(self, outbound: OutboundSetUp, error: AttemptError) -> None:
        """End an attempt that was not answered, unless it has ended already."""
        if self._current.get(outbound.call) is outbound:
            self._remove(outbound)
            self.record_ended(outbound)
            self._exchange.attempt_ended(outbound.call, outbound.set_up.attempt, error)

    def record_ended(self, outbound: OutboundSetUp) -> None:
        """Remember an attempt that ended unanswered, and release the call of an earlier one, if any."""
        number = outbound.set_up.request.number
        if outbound.progress >= Progress.PARTLY_SENT and outbound.link is not None:
            attempt = EndedAttempt(sequence_of(outbound.set_up), outbound.link.number)
            self._ended.record(outbound.call, number, attempt, self._directory.clock.now_ms())
        if outbound.has_late_answer:
            self._release(outbound.call, number, CAUSE_NORMAL)

    def _remove(self, outbound: OutboundSetUp) -> None:
        del self._current[outbound.call]
        if outbound.link is not None:
            outbound.link.unanswered.pop(outbound.call, None)

    def handle_release(self, call: str) -> bool:
        """Handle the server's release of a call; return False if no attempt of it is out."""
        outbound = self._current.get(call)
        if outbound is None:
            return False
        if self._ended.of_call(call) is None:
            self.end(outbound, AttemptError(Progress.ANSWERED, "released", Ending.RESET))
        else:
            # The call of an earlier attempt has ended; the current one has no answer yet.
            outbound.has_late_answer = False
        return True

    def handle_response(self, link: Link, call: str, response: sip.Response) -> None:
        """Handle a final response to an INVITE."""
        outbound = self._current.get(call)
        if outbound is None:
            self._handle_response_to_ended(link, call, response)
        elif outbound.link is not link or self._ended.has(call, link.number, response.sequence):
            self._handle_late_response(link, outbound, response)
        else:
            self._handle_final_response(link, outbound, response)

    def _handle_late_response(self, link: Link, outbound: OutboundSetUp, response: sip.Response) -> None:
        """Handle the response to an earlier attempt of a call, which ends nothing but that attempt.

        A call that it establishes has the current attempt's Call-ID, so a BYE now would end that one too."""
        log_event(
            logging.INFO, "server_late_answer", server=self._server, call=outbound.call,
            status=response.status, sequence=response.sequence,
        )  # fmt: skip
        sequence = response.sequence or sequence_of(outbound.set_up)
        self._acknowledge(link, outbound, sequence)
        outbound.has_late_answer = outbound.has_late_answer or response.is_answer

    def _handle_final_response(self, link: Link, outbound: OutboundSetUp, response: sip.Response) -> None:
        """Handle the response to the current attempt of a call."""
        self._acknowledge(link, outbound, sequence_of(outbound.set_up))
        if response.status >= 300:
            self.end(outbound, refusal(response.status, response.headers.get("x-why", "")))
            return
        self._remove(outbound)
        outbound.progress = Progress.ANSWERED
        if self._exchange.handle_answer(outbound.call, outbound.set_up.attempt, response.body):
            link.calls.add(outbound.call)
        else:
            self._release_unwanted(outbound.call, outbound.set_up.request.number)

    @staticmethod
    def _acknowledge(link: Link, outbound: OutboundSetUp, sequence: int) -> None:
        link.send(OutboundMessage(requests.ack(outbound.call, outbound.set_up.request.number, sequence)))

    def _handle_response_to_ended(self, link: Link, call: str, response: sip.Response) -> None:
        """Handle a response for a call that has no attempt out at this server."""
        number, sequence = "unknown", 1
        if (ended := self._ended.of_call(call)) is not None:
            number, sequence = ended.called_number, ended.attempts[-1].sequence
        elif not self._exchange.knows(call):
            self._directory.counters.add("unknown_from_servers")
            log_event(
                logging.WARNING, "server_unknown_call", server=self._server, call=call, status=response.status
            )
            return
        link.send(OutboundMessage(requests.ack(call, number, response.sequence or sequence)))
        if response.is_answer:
            self._release_unwanted(call, number)

    def _release_unwanted(self, call: str, number: str) -> None:
        """Guards against a call that stays established with no caller: its answer crossed a CANCEL."""
        if self._exchange.established_ms(self._server, call) is None:
            self._release(call, number, CAUSE_NORMAL)
