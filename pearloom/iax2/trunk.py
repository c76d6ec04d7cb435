"""One session server over IAX2: a connected socket, its legs, and the detection of a lost server."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from pearloom.core.calls import Media, SetUpAttempt
from pearloom.core.config import Server
from pearloom.core.errors import AttemptError, Malformed, Progress
from pearloom.core.exchange import CAUSE_CUT, CAUSE_NORMAL
from pearloom.core.logs import log_event
from pearloom.iax2.attempt_endings import (
    CAUSE_CONGESTION,
    CAUSE_NO_CIRCUIT,
    SetUpFailure,
    ending_for_cause,
    ending_for_failure,
)
from pearloom.iax2.element_mapping import set_up_elements
from pearloom.iax2.events import (
    Answered,
    Event,
    Failed,
    HungUp,
    LegEnded,
    LegLost,
    MediaReceived,
    Progressed,
    Rejected,
)
from pearloom.iax2.frames import Elements, FullFrame, Iax, MiniFrame, decode
from pearloom.iax2.legs import Legs, answer_without_leg
from pearloom.iax2.liveness import Liveness
from pearloom.iax2.out_leg import OutLeg
from pearloom.iax2.udp import UdpPort
from pearloom.interface import Ending, PoolState
from pearloom.servers.directory import Directory

# A HANGUP has been sent three or four times by then; the wait after an uncertain attempt comes on top.
CONFIRM_MS = 500.0


@dataclass(slots=True)
class _TrunkCall:
    """A call on this trunk."""

    set_up: SetUpAttempt
    is_established: bool = False
    is_given_up: bool = False  # the exchange gave the attempt up and waits for its end


class IaxLeg(OutLeg):
    """An outgoing leg with its call."""

    trunk_call: _TrunkCall


class IaxTrunk:
    """The trunk to one session server."""

    dialling = False  # UDP needs no connection
    connections = 0  # all legs share one socket
    contact_tracker = None  # legs are not handed over at an upgrade

    def __init__(self, directory: Directory, server: Server, secret: str, first_number: int) -> None:
        """Prepare the trunk; `first_number`, random for each process, keeps frames of old legs apart."""
        self._directory, self._exchange = directory, directory.exchange
        self.name, self.server = server.entry.server, server
        self._secret = secret
        self._port: UdpPort | None = None
        self._legs: Legs[IaxLeg] = Legs(
            directory.exchange,
            directory.clock.now_ms,
            lambda leg, data: self._send(data),
            self._handle_event,
            first_number,
        )
        self._by_call: dict[str, IaxLeg] = {}
        self._by_server_number: dict[int, IaxLeg] = {}  # established legs, by the server's call number
        self._liveness = Liveness(directory.clock.now_ms())

    @property
    def now_ms(self) -> float:
        """The current time."""
        return self._directory.clock.now_ms()

    @property
    def is_ready(self) -> bool:
        """Whether the server may get new set-ups."""
        return self.server.entry.state is PoolState.READY

    @property
    def is_idle(self) -> bool:
        """Whether the server is gone and no leg is left."""
        return self.server.entry.state is PoolState.GONE and not len(self._legs)

    def dial(self) -> None:
        """Open the socket; nothing is sent before the first call."""
        if self._port is None:
            port = UdpPort(
                lambda data, source: self._on_datagram(data),
                self._legs.flush_all,
                self._handle_port_unreachable,
            )
            port.connect(self.server.address)
            self._port = port

    def _send(self, data: bytes) -> None:
        if self._port is not None:
            self._port.send(data)

    def set_up(self, set_up: SetUpAttempt) -> None:
        """Start an attempt: open a leg and send NEW."""
        call = set_up.request.call
        try:
            self.dial()
        except OSError as error:
            self._attempt_ended(set_up, AttemptError(Progress.CONNECTING, str(error)))
            return
        number = self._legs.allocate_number()
        if number is None:
            # Guards against the reuse of a number whose old leg may still receive frames. CONNECTING counts
            # as unreachable, so that other servers are tried.
            log_event(logging.WARNING, "iax2_numbers_out", server=self.name)
            self._attempt_ended(set_up, AttemptError(Progress.CONNECTING, "no call number"))
            return
        trunk_call = _TrunkCall(set_up)
        elements = Elements(set_up_elements(set_up, "pearloom" if self._secret else ""))
        leg = IaxLeg(
            number, elements, self._secret, self.now_ms, lambda: self.is_ready and not trunk_call.is_given_up
        )
        leg.trunk_call = trunk_call
        self._legs.add(leg)
        self._by_call[call] = leg
        leg.start(self.now_ms)
        self._exchange.count_forwarded()
        self._legs.flush(leg, [])

    def give_up(self, call: str) -> Progress | None:
        """Hang up an attempt's leg. The attempt ends once the server confirms that, or after CONFIRM_MS.

        Returns how far the attempt had come, or None if its end is reported to the exchange later. Guards
        against a second attempt while the HANGUP is lost and the first attempt is still running."""
        leg = self._by_call.pop(call, None)
        if leg is None or leg.is_ended or leg.is_closing:
            return Progress.NOT_DIALLED
        self._directory.counters.add("cancels_out")
        never_ran, leg.trunk_call.is_given_up = leg.never_ran, True
        self._close(leg)
        if never_ran:
            return Progress.NOT_DIALLED
        self._exchange.after_ms(CONFIRM_MS, lambda: self._report_given_up(leg))
        return None

    def _close(self, leg: IaxLeg, cause: int = CAUSE_NORMAL) -> None:
        leg.hang_up(cause, self.now_ms)
        self._legs.flush(leg, [])

    def _report_given_up(self, leg: IaxLeg) -> None:
        """Report the end of an attempt that was given up, once."""
        if leg.trunk_call.is_given_up:
            leg.trunk_call.is_given_up = False
            self._attempt_ended(leg.trunk_call.set_up, AttemptError(Progress.SENT, "given up"))

    def _attempt_ended(self, set_up: SetUpAttempt, error: AttemptError) -> None:
        self._exchange.attempt_ended(set_up.request.call, set_up.attempt, error)

    def withdraw_unsent(self) -> None:
        """Do nothing: each frame that starts work, retransmitted or not, is sent only while `is_ready`."""

    def release(self, call: str, number: str, cause: int) -> None:
        """Hang up an established call; one that this process did not set up has no leg here."""
        leg = self._by_call.pop(call, None)
        if leg is not None:
            self._directory.counters.add("byes_out")
            self._liveness.remove(leg.source)
            self._close(leg, cause)

    def send_media(self, call: str, media: Media) -> None:
        """Send the caller's media to the server."""
        leg = self._by_call.get(call)
        if leg is not None:
            self._directory.counters.add("media_to_servers")
            leg.transmit_media(media, self.now_ms)
            self._legs.flush(leg, [])

    def update(self, server: Server) -> None:
        """Apply a new pool list entry of this server."""
        previous, self.server = self.server, server
        if server.entry.started_us > previous.entry.started_us:
            # Guards against calls of the server's previous process, for which no frame will ever arrive.
            self._exchange.handle_server_loss(self.name, server.entry.started_us / 1000.0, "restarted")
        if server.address != previous.address and self._port is not None:
            # The legs stay: if it is the same server, it knows them by this side's address and call number.
            self._port.close()
            self._port = None
            if len(self._legs):
                self.dial()

    def finish(self) -> None:
        """Release established calls on both sides: this process is about to end, and its legs with it."""
        if len(self._legs):
            self._end_established_calls("ended here")

    def close(self) -> None:
        """Close the socket: the server is gone and no leg is left."""
        if self._port is not None:
            self._port.close()
            self._port = None

    def watch(self) -> None:
        """Ping the legs that are due, and release the calls of a server that is silent for too long."""
        check = self._liveness.check(self.now_ms)
        if check.is_lost:
            self._end_established_calls("silent")
        self._directory.counters.add("pings_out", self._legs.ping(check.legs_to_ping))

    def _end_established_calls(self, reason: str) -> None:
        self._exchange.handle_server_loss(self.name, self.now_ms + 1, reason)
        for leg in [member for member in self._legs.all() if member.trunk_call.is_established]:
            # A server that returns with the call still up gets the HANGUP.
            self._by_call.pop(leg.trunk_call.set_up.request.call, None)
            self._liveness.remove(leg.source)
            self._close(leg, CAUSE_CUT)

    def _handle_port_unreachable(self) -> None:
        """Release all calls: the server's port is closed. The effect of open set-ups is uncertain."""
        if not len(self._legs):
            return
        log_event(logging.INFO, "iax2_refused", server=self.name)
        self._end_established_calls("refused")
        for leg in self._legs.all():
            self._legs.flush(leg, leg.fail(SetUpFailure.UNREACHABLE, self.now_ms))

    def _on_datagram(self, data: bytes) -> None:
        frames = decode(data)
        if isinstance(frames, Malformed):
            self._directory.record_malformed(self.name, frames.reason, closed=False)
            return
        now = self.now_ms
        for frame in frames:
            leg = self._leg_of(frame)
            if leg is not None:
                self._liveness.record_received(leg.source, now)
                self._legs.dispatch(leg, leg.feed(frame, now))
            elif isinstance(frame, FullFrame) and not frame.is_iax(Iax.INVAL):
                # Guards against a leg that only the server still has: INVAL makes it drop the leg.
                self._directory.counters.add("unknown_from_servers")
                self._send(answer_without_leg(frame, Iax.INVAL))

    def _leg_of(self, frame: FullFrame | MiniFrame) -> IaxLeg | None:
        """Return the leg of a frame; guards against answers for another leg: both numbers must match."""
        if isinstance(frame, MiniFrame):
            return self._by_server_number.get(frame.source)
        leg = self._legs.get(frame.destination)
        if leg is None or leg.transport.destination not in (0, frame.source):
            return None
        return leg

    def _handle_event(self, leg: IaxLeg, event: Event) -> None:
        call = leg.trunk_call.set_up.request.call
        match event:
            case Answered(description, circuits):
                self._handle_report(circuits)
                self._handle_answer(leg, description)
            case Rejected(stage, cause, cause_text, circuits):
                self._handle_report(circuits)
                ending = ending_for_cause(stage, cause)
                self._fail_attempt(
                    leg,
                    AttemptError(
                        Progress.ANSWERED,
                        f"{cause} {cause_text}".strip(),
                        ending,
                        processor_full=ending is Ending.FULL and cause == CAUSE_CONGESTION,
                        no_line=ending is Ending.FULL and cause == CAUSE_NO_CIRCUIT,
                    ),
                )
            case Failed(stage, failure, reason):
                if failure is SetUpFailure.SPOILT:
                    self._directory.record_malformed(self.name, reason, closed=True)
                ending = ending_for_failure(stage, failure)
                self._fail_attempt(
                    leg, AttemptError(Progress.SENT, f"{failure.name.lower()} {reason}".strip(), ending)
                )
            case HungUp(cause):
                self._liveness.remove(leg.source)
                self._by_call.pop(call, None)
                self._exchange.handle_server_release(self.name, call, cause)
            case LegLost(reason):
                self._liveness.remove(leg.source)
                self._liveness.start_audit(self.now_ms)
                self._by_call.pop(call, None)
                log_event(logging.INFO, "iax2_leg_gone", server=self.name, call=call, reason=reason)
                self._exchange.handle_server_release(self.name, call, CAUSE_CUT)
            case MediaReceived(media):
                self._directory.counters.add("media_from_servers")
                self._exchange.relay_server_media(self.name, call, media)
            case LegEnded():
                self._legs.remove(leg)
                if self._by_server_number.get(leg.transport.destination) is leg:
                    del self._by_server_number[leg.transport.destination]
                self._liveness.remove(leg.source)
                if self._by_call.get(call) is leg:
                    del self._by_call[call]
                self._report_given_up(leg)
            case Progressed():
                pass

    def _fail_attempt(self, leg: IaxLeg, error: AttemptError) -> None:
        """Report to the exchange, once, that the attempt ended without an answer."""
        if self._by_call.get(leg.trunk_call.set_up.request.call) is leg:
            del self._by_call[leg.trunk_call.set_up.request.call]
            self._attempt_ended(leg.trunk_call.set_up, error)

    def _handle_answer(self, leg: IaxLeg, description: bytes | None) -> None:
        request, attempt = leg.trunk_call.set_up.request, leg.trunk_call.set_up.attempt
        if description is None and request.description:
            # Guards against an answer without the description of the server's media.
            self._directory.record_malformed(self.name, "no description", closed=True)
            self._fail_attempt(leg, AttemptError(Progress.ANSWERED, "no description", Ending.ERROR))
            self._close(leg)
            return
        leg.trunk_call.is_established = True
        self._by_server_number[leg.transport.destination] = leg
        self._liveness.add(leg.source, self.now_ms)
        if not self._exchange.handle_answer(request.call, attempt, description or b""):
            # Guards against an answer that crossed the end of its call: the leg would have no caller.
            self._by_call.pop(request.call, None)
            self._liveness.remove(leg.source)
            self._close(leg)

    def _handle_report(self, circuits: str) -> None:
        if circuits:
            self._directory.handle_report(self.name, "circuits", circuits)
