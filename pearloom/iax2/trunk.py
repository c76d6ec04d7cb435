"""One session server over IAX2: a socket that hears it alone, its legs, and what their silence means."""

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
from pearloom.settings import read_report

# A HANGUP has left three or four times by then; the wait after doubt comes on top.
CONFIRM_MS = 500.0


@dataclass(slots=True)
class _Placed:
    """A call of this trunk."""

    set_up: SetUpAttempt
    stands: bool = False
    given_up: bool = False  # by the exchange, which waits for its end


class IaxLeg(OutLeg):
    """A leg with the call that it is for."""

    placed: _Placed


class IaxTrunk:
    """All that concerns one session server, by its id."""

    dialling = False  # there is nothing to dial
    connections = 0  # legs share one socket

    def __init__(self, side: Directory, server: Server, secret: str, first_number: int) -> None:
        """Know the server; `first_number`, drawn anew at each start, keeps old legs' frames apart."""
        self._side, self._exchange = side, side.exchange
        self.name, self.server = server.entry.server, server
        self._secret = secret
        self._port: UdpPort | None = None
        self._legs: Legs[IaxLeg] = Legs(
            side.exchange, side.clock.now_ms, lambda leg, data: self._send(data), self._event, first_number
        )
        self._by_call: dict[str, IaxLeg] = {}
        self._by_theirs: dict[int, IaxLeg] = {}  # legs that stand, by the server's call number
        self._liveness = Liveness(side.clock.now_ms())

    @property
    def now_ms(self) -> float:
        """The time."""
        return self._side.clock.now_ms()

    @property
    def is_ready(self) -> bool:
        """May it get new set-ups?"""
        return self.server.entry.state is PoolState.READY

    @property
    def is_idle(self) -> bool:
        """Is it gone, with nothing left to do?"""
        return self.server.entry.state is PoolState.GONE and not len(self._legs)

    # --- what the exchange asks for -------------------------------------------------------------------------
    def dial(self) -> None:
        """Open the socket; nothing is sent before there is a call."""
        if self._port is None:
            port = UdpPort(lambda data, source: self._datagram(data), self._legs.flush_all, self._refused)
            port.connect(self.server.address)
            self._port = port

    def _send(self, data: bytes) -> None:
        if self._port is not None:
            self._port.send(data)

    def set_up(self, set_up: SetUpAttempt) -> None:
        """Send NEW."""
        call = set_up.request.call
        try:
            self.dial()
        except OSError as trouble:
            self._attempt_ended(set_up, AttemptError(Progress.CONNECTING, str(trouble)))
            return
        number = self._legs.number()
        if number is None:
            # Guards against a number whose old leg may still be talking; unreachable, so that others are
            # tried.
            log_event(logging.WARNING, "iax2_numbers_out", server=self.name)
            self._attempt_ended(set_up, AttemptError(Progress.CONNECTING, "no call number"))
            return
        placed = _Placed(set_up)
        elements = Elements(set_up_elements(set_up, "pearloom" if self._secret else ""))
        leg = IaxLeg(
            number, elements, self._secret, self.now_ms, lambda: self.is_ready and not placed.given_up
        )
        leg.placed = placed
        self._legs.add(leg)
        self._by_call[call] = leg
        leg.start(self.now_ms)
        self._exchange.count_forwarded()
        self._legs.flush(leg, [])

    def give_up(self, call: str) -> Progress | None:
        """End a leg. Its attempt is over once the server confirms that, or after CONFIRM_MS.

        Guards against a second attempt while a HANGUP is lost and the first one still at work."""
        leg = self._by_call.pop(call, None)
        if leg is None or leg.is_ended or leg.is_closing:
            return Progress.NOT_DIALLED
        self._side.counters.add("cancels_out")
        never_ran, leg.placed.given_up = leg.never_ran, True
        self._close(leg)
        if never_ran:
            return Progress.NOT_DIALLED
        self._exchange.after_ms(CONFIRM_MS, lambda: self._confirmed(leg))
        return None

    def _close(self, leg: IaxLeg, cause: int = CAUSE_NORMAL) -> None:
        leg.hang_up(cause, self.now_ms)
        self._legs.flush(leg, [])

    def _confirmed(self, leg: IaxLeg) -> None:
        """The end of an attempt that was given up."""
        if leg.placed.given_up:
            leg.placed.given_up = False
            self._attempt_ended(leg.placed.set_up, AttemptError(Progress.SENT, "given up"))

    def _attempt_ended(self, set_up: SetUpAttempt, error: AttemptError) -> None:
        self._exchange.attempt_ended(set_up.request.call, set_up.attempt, error)

    def withdraw_unsent(self) -> None:
        """Nothing waits here: each frame that starts work asks `ready` before it leaves, the repeats too."""

    def release(self, call: str, number: str, cause: int) -> None:
        """Hang up a standing call; one that this process never set up has no leg here."""
        leg = self._by_call.pop(call, None)
        if leg is not None:
            self._side.counters.add("byes_out")
            self._liveness.over(leg.source)
            self._close(leg, cause)

    def send_media(self, call: str, media: Media) -> None:
        """Pass on what the caller says."""
        leg = self._by_call.get(call)
        if leg is not None:
            self._side.counters.add("media_to_servers")
            leg.transmit_media(media, self.now_ms)
            self._legs.flush(leg, [])

    def update(self, server: Server) -> None:
        """The list says something new of this server."""
        before, self.server = self.server, server
        if server.entry.started_us > before.entry.started_us:
            # Guards against calls of the process before this one, of which nothing will come.
            self._exchange.handle_server_loss(self.name, server.entry.started_us / 1000.0, "restarted")
        if server.address != before.address and self._port is not None:
            # The legs stay: the server knows them by this side's address and number, if it is the same one.
            self._port.close()
            self._port = None
            if len(self._legs):
                self.dial()

    def finish(self) -> None:
        """This process is about to end, and its legs with it: both sides are told, not left to find out."""
        if len(self._legs):
            self._lost("ended here")

    def close(self) -> None:
        """The server is gone and owes nothing."""
        if self._port is not None:
            self._port.close()
            self._port = None

    # --- is it alive? ---------------------------------------------------------------------------------------
    def watch(self) -> None:
        """Ask on legs that are due, and give up a server that has said nothing for long."""
        look = self._liveness.look(self.now_ms)
        if look.lost:
            self._lost("silent")
        self._side.counters.add("pings_out", self._legs.ask(look.ask))

    def _lost(self, reason: str) -> None:
        self._exchange.handle_server_loss(self.name, self.now_ms + 1, reason)
        for leg in [one for one in self._legs.all() if one.placed.stands]:
            # Should it come back with the call, it hears that nobody is there any more.
            self._by_call.pop(leg.placed.set_up.request.call, None)
            self._liveness.over(leg.source)
            self._close(leg, CAUSE_CUT)

    def _refused(self) -> None:
        """The machine says that no process listens: what stood there is cut; set-ups are in doubt."""
        if not len(self._legs):
            return
        log_event(logging.INFO, "iax2_refused", server=self.name)
        self._lost("refused")
        for leg in self._legs.all():
            self._legs.flush(leg, leg.fail(SetUpFailure.UNREACHABLE, self.now_ms))

    # --- what comes -----------------------------------------------------------------------------------------
    def _datagram(self, data: bytes) -> None:
        frames = decode(data)
        if isinstance(frames, Malformed):
            self._side.counters.add("malformed_from_servers")
            log_event(
                logging.WARNING, "server_malformed", server=self.name, reason=frames.reason, closed=False
            )
            return
        now = self.now_ms
        for frame in frames:
            leg = self._leg_of(frame)
            if leg is not None:
                self._liveness.heard(leg.source, now)
                self._legs.took(leg, leg.feed(frame, now))
            elif isinstance(frame, FullFrame) and not frame.is_iax(Iax.INVAL):
                # Guards against a leg that the server keeps and nobody here knows: it lets go of it.
                self._side.counters.add("unknown_from_servers")
                self._send(answer_without_leg(frame, Iax.INVAL))

    def _leg_of(self, frame: FullFrame | MiniFrame) -> IaxLeg | None:
        """Guards against an answer under another leg's number: both numbers have to fit."""
        if isinstance(frame, MiniFrame):
            return self._by_theirs.get(frame.source)
        leg = self._legs.get(frame.destination)
        if leg is None or leg.transport.destination not in (0, frame.source):
            return None
        return leg

    def _event(self, leg: IaxLeg, event: Event) -> None:
        call = leg.placed.set_up.request.call
        match event:
            case Answered(description, circuits):
                self._report(circuits)
                self._answered(leg, description)
            case Rejected(stage, cause, why, circuits):
                self._report(circuits)
                ending = ending_for_cause(stage, cause)
                self._ended(
                    leg,
                    AttemptError(
                        Progress.ANSWERED,
                        f"{cause} {why}".strip(),
                        ending,
                        processor_full=ending is Ending.FULL and cause == CAUSE_CONGESTION,
                        no_line=ending is Ending.FULL and cause == CAUSE_NO_CIRCUIT,
                    ),
                )
            case Failed(stage, end, reason):
                if end is SetUpFailure.SPOILT:
                    self._side.counters.add("malformed_from_servers")
                    log_event(
                        logging.WARNING, "server_malformed", server=self.name, reason=reason, closed=True
                    )
                ending = ending_for_failure(stage, end)
                self._ended(leg, AttemptError(Progress.SENT, f"{end.name.lower()} {reason}".strip(), ending))
            case HungUp(cause):
                self._liveness.over(leg.source)
                self._by_call.pop(call, None)
                self._exchange.handle_server_release(self.name, call, cause)
            case LegLost(reason):
                self._liveness.over(leg.source)
                self._liveness.doubted(self.now_ms)
                self._by_call.pop(call, None)
                log_event(logging.INFO, "iax2_leg_gone", server=self.name, call=call, reason=reason)
                self._exchange.handle_server_release(self.name, call, CAUSE_CUT)
            case MediaReceived(media):
                self._side.counters.add("media_from_servers")
                self._exchange.relay_server_media(self.name, call, media)
            case LegEnded():
                self._legs.gone(leg)
                if self._by_theirs.get(leg.transport.destination) is leg:
                    del self._by_theirs[leg.transport.destination]
                self._liveness.over(leg.source)
                if self._by_call.get(call) is leg:
                    del self._by_call[call]
                self._confirmed(leg)
            case Progressed():
                pass

    def _ended(self, leg: IaxLeg, error: AttemptError) -> None:
        """The attempt is over without an answer, and the exchange is told once."""
        if self._by_call.get(leg.placed.set_up.request.call) is leg:
            del self._by_call[leg.placed.set_up.request.call]
            self._attempt_ended(leg.placed.set_up, error)

    def _answered(self, leg: IaxLeg, description: bytes | None) -> None:
        offer, attempt = leg.placed.set_up.request, leg.placed.set_up.attempt
        if description is None and offer.description:
            # Guards against an answer that says nothing of where the call is.
            self._side.counters.add("malformed_from_servers")
            log_event(
                logging.WARNING, "server_malformed", server=self.name, reason="no description", closed=True
            )
            self._ended(leg, AttemptError(Progress.ANSWERED, "no description", Ending.ERROR))
            self._close(leg)
            return
        leg.placed.stands = True
        self._by_theirs[leg.transport.destination] = leg
        self._liveness.stands(leg.source, self.now_ms)
        if not self._exchange.handle_answer(offer.call, attempt, description or b""):
            # Guards against an answer that crossed the end of its call: it would stand for nobody.
            self._by_call.pop(offer.call, None)
            self._liveness.over(leg.source)
            self._close(leg)

    def _report(self, figures: str) -> None:
        if figures:
            try:
                report = read_report(figures)
            except ValueError:
                self._side.counters.add("malformed_from_servers")
                log_event(
                    logging.WARNING, "server_malformed", server=self.name, reason="circuits", closed=False
                )
            else:
                self._exchange.handle_server_report(self.name, report)
