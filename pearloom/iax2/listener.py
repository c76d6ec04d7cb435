"""Callers over IAX2: one socket, one leg per call, and no state for a source without a valid token."""

from __future__ import annotations

import logging
import secrets
from collections import OrderedDict
from collections.abc import Callable

from pearloom.core.calls import Caller, CallerSide, Media, SetUpRequest
from pearloom.core.clock import Clock
from pearloom.core.config import Address
from pearloom.core.counters import Counters
from pearloom.core.errors import Malformed
from pearloom.core.exchange import Exchange
from pearloom.core.logs import log_event
from pearloom.core.set_up_validation import SetUpValidator
from pearloom.iax2 import call_tokens
from pearloom.iax2.admission import Admission
from pearloom.iax2.attempt_endings import (
    CAUSE_CONGESTION,
    CAUSE_NETWORK_OUT_OF_ORDER,
    CAUSE_TEMPORARY_FAILURE,
)
from pearloom.iax2.element_mapping import answer_elements, find_secret, read_set_up
from pearloom.iax2.events import Event, HungUp, LegEnded, LegLost, MediaReceived, SetUpReceived
from pearloom.iax2.frames import Element, Elements, FullFrame, Iax, MiniFrame, decode, decode_elements
from pearloom.iax2.in_leg import InLeg
from pearloom.iax2.legs import Legs, answer_without_leg
from pearloom.iax2.liveness import Liveness
from pearloom.iax2.settings import Iax2Settings
from pearloom.iax2.udp import UdpPort

CHECK_MS = 100.0  # interval of the checks on legs
CAUSE_INVALID = 96  # Q.931: a mandatory element is missing
CAUSE_REJECTED = 21  # Q.931: call rejected
MAX_USED_TOKENS = 20_000  # tokens of ended legs, for late copies of their NEW
_Peer = tuple[Address, int]


class CallerLeg(InLeg):
    """A leg that a caller opened; the `Caller` of its one call for the exchange."""

    listener: IaxListener
    peer: _Peer
    token: bytes
    request: SetUpRequest | None = None
    codec = 0

    @property
    def is_connected(self) -> bool:
        """Whether neither side has ended the leg."""
        return not self.is_ended

    def send_answer(self, call: str, description: bytes) -> None:
        """Send the answer."""
        self.listener.answer_leg(self, description)

    def send_refusal(self, call: str, stay_away_ms: float) -> None:
        """Reject the set-up, with the time after which the caller may retry."""
        self.listener.reject_leg(self, CAUSE_CONGESTION, "", stay_away_ms)

    def send_failure(self, call: str) -> None:
        """Reject the set-up as failed."""
        self.listener.reject_leg(self, CAUSE_TEMPORARY_FAILURE, "", 0.0)

    def send_media(self, call: str, media: Media) -> None:
        """Send media from the server."""
        self.listener.relay_media(self, media)


class IaxListener:
    """Accepts callers' legs, and sends them the answers and ends of their calls."""

    def __init__(
        self,
        exchange: Exchange,
        clock: Clock,
        counters: Counters,
        settings: Iax2Settings,
        validator: SetUpValidator,
        is_in_service: Callable[[], bool],
        is_refusing: Callable[[], bool],
    ) -> None:
        """Prepare; `is_in_service`: is a POKE answered? `is_refusing`: are set-ups refused?"""
        self._exchange, self._clock, self._counters = exchange, clock, counters
        self._settings, self._validator = settings, validator
        self._is_in_service, self._is_refusing = is_in_service, is_refusing
        self._token_key = secrets.token_bytes(32)
        self._admission = Admission(settings.limits, clock.now_ms())
        self._port = UdpPort(self._on_datagram, lambda: self._legs.flush_all())
        self._legs: Legs[CallerLeg] = Legs(
            exchange,
            clock.now_ms,
            lambda leg, data: self._port.send(data, leg.peer[0]),
            self._handle_event,
            1 + secrets.randbelow(0x7000),
        )
        self._by_peer: dict[_Peer, CallerLeg] = {}
        self._used_tokens: OrderedDict[bytes, float] = OrderedDict()
        self._liveness = Liveness(clock.now_ms(), is_single_peer=False)

    def listen(self, address: Address) -> Address:
        """Accept callers at this address; return the bound one. Raises OSError."""
        bound = self._port.listen(address)
        self._check_legs()
        return bound

    def _now_ms(self) -> float:
        return self._clock.now_ms()

    def _on_datagram(self, data: bytes, source: Address) -> None:
        frames = decode(data)
        if isinstance(frames, Malformed):
            self._count_malformed(frames.reason)
            return
        for frame in frames:
            if isinstance(frame, MiniFrame):
                leg = self._by_peer.get((source, frame.source))
            elif frame.is_iax(Iax.NEW):
                self._handle_new(frame, source)
                continue
            else:
                leg = self._leg_of(frame, source)
            if leg is not None:
                self._feed(leg, frame)
            elif isinstance(frame, FullFrame):
                self._handle_without_leg(frame, source)

    def _count_malformed(self, reason: str) -> None:
        self._counters.add("malformed_from_callers")
        log_event(logging.WARNING, "caller_malformed", reason=reason, call="", closed=False)

    def _feed(self, leg: CallerLeg, frame: FullFrame | MiniFrame) -> None:
        now = self._now_ms()
        self._liveness.record_received(leg.source, now)
        self._legs.dispatch(leg, leg.feed(frame, now))

    def _leg_of(self, frame: FullFrame, source: Address) -> CallerLeg | None:
        """Return the leg of a frame; guards against spoofing: address and call numbers must match."""
        leg = self._by_peer.get((source, frame.source))
        return leg if leg is not None and frame.destination in (0, leg.source) else None

    def _handle_without_leg(self, frame: FullFrame, source: Address) -> None:
        if frame.is_iax(Iax.POKE):
            # A load balancer's health check. While drained there is no reply: IAX2 has no negative one.
            if self._is_in_service() and self._admission.may_reply(source[0], self._now_ms()):
                self._port.send(answer_without_leg(frame, Iax.PONG), source)
        elif not frame.is_iax(Iax.INVAL):
            self._counters.add("iax2_no_leg")
            if self._admission.may_reply(source[0], self._now_ms()):
                self._port.send(answer_without_leg(frame, Iax.INVAL), source)

    def _handle_new(self, frame: FullFrame, source: Address) -> None:
        now = self._now_ms()
        elements = decode_elements(frame.data)
        if isinstance(elements, Malformed):
            self._count_malformed(elements.reason)
            return
        token = elements.get(Element.CALLTOKEN)
        if not token or not call_tokens.is_valid(self._token_key, source, frame.source, token, now):
            self._request_token(frame, source, token, now)
            return
        self._admission.record_valid_token(source[0], now)
        leg = self._by_peer.get((source, frame.source))
        if leg is not None and leg.token == token:
            self._feed(leg, frame)  # a repeat of the same NEW
        elif token in self._used_tokens:
            # Guards against a late copy of the NEW of an ended leg, which is no second set-up.
            self._counters.add("iax2_late_new")
        else:
            if leg is not None:
                self._handle_caller_restart(leg)
            self._open_leg(frame, source, elements, token, now)

    def _request_token(self, frame: FullFrame, source: Address, token: bytes | None, now: float) -> None:
        """Send a token without storing anything: a genuine source returns it."""
        if not self._admission.may_reply(source[0], now):
            self._counters.add("iax2_tokens_withheld")
            return
        if token is None:
            # RFC 5456 has no other reply to a caller without support for call tokens.
            pairs = [(Element.CAUSECODE, bytes((CAUSE_REJECTED,))), (Element.CAUSE, b"call token needed")]
            self._counters.add("iax2_without_token")
            self._port.send(answer_without_leg(frame, Iax.REJECT, Elements(pairs).encode()), source)
            return
        self._counters.add("iax2_tokens_out")
        new_token = call_tokens.issue(self._token_key, source, frame.source, now)
        elements = Elements([(Element.CALLTOKEN, new_token)]).encode()
        self._port.send(answer_without_leg(frame, Iax.CALLTOKEN, elements), source)

    def _open_leg(
        self, frame: FullFrame, source: Address, elements: Elements, token: bytes, now: float
    ) -> None:
        secret = find_secret(elements, self._settings.secrets)
        refusal = self._admission.refusal_reason(source[0], bool(secret))
        number = self._legs.allocate_number() if refusal is None and secret is not None else None
        if number is None:
            reason = "unknown user" if secret is None else refusal.value if refusal else "call numbers"
            self._counters.add("iax2_turned_away")
            log_event(logging.INFO, "iax2_turned_away", reason=reason, source=source[0])
            cause = CAUSE_REJECTED if secret is None else CAUSE_CONGESTION
            pairs = [(Element.CAUSECODE, bytes((cause,)))]
            if secret is not None:
                stay_away_ms = round(self._exchange.stay_away_ms)
                pairs.append((Element.STAY_AWAY_MS, stay_away_ms.to_bytes(4, "big")))
            self._port.send(answer_without_leg(frame, Iax.REJECT, Elements(pairs).encode()), source)
            return
        leg = CallerLeg(number, frame, elements, secret or "", secrets.token_hex(8), now)
        leg.listener, leg.peer, leg.token = self, (source, frame.source), token
        self._admission.add_leg(source[0], number, bool(secret), now)
        self._legs.add(leg)
        self._by_peer[leg.peer] = leg
        self._counters.add("iax2_legs")
        self._legs.dispatch(leg, leg.start(now))

    def _handle_caller_restart(self, leg: CallerLeg) -> None:
        """End a leg whose number the caller uses for a new call: it has restarted and lost the old one."""
        self._handle_caller_release(leg, CAUSE_TEMPORARY_FAILURE)
        self._discard_leg(leg)

    def _discard_leg(self, leg: CallerLeg) -> None:
        leg.is_ended = True
        self._remove_leg(leg)

    def _handle_event(self, leg: CallerLeg, event: Event) -> None:
        match event:
            case SetUpReceived(elements):
                self._admission.record_challenge_answered(leg.source)
                self._handle_set_up(leg, elements)
            case HungUp(cause):
                self._handle_caller_release(leg, cause)
            case LegLost(reason):
                log_event(logging.INFO, "iax2_caller_gone", reason=reason)
                self._handle_caller_release(leg, CAUSE_TEMPORARY_FAILURE)
            case MediaReceived(media) if leg.request is not None:
                self._counters.add("media_from_callers")
                self._exchange.relay_caller_media(leg.request.call, media)
            case LegEnded():
                self._remove_leg(leg)

    def _handle_set_up(self, leg: CallerLeg, elements: Elements) -> None:
        exchange = self._exchange
        request = read_set_up(elements, self._validator, self._settings.default_class, secrets.token_hex(8))
        if isinstance(request, str):
            self._counters.add("bad_set_ups")
            log_event(logging.WARNING, "caller_bad_set_up", call="", reason=request)
            self.reject_leg(leg, CAUSE_INVALID, request, 0.0)
            return
        # Guards against an answer after the caller gave up: it has waited since its first NEW.
        request.patience_ms -= call_tokens.age_ms(leg.token, self._now_ms())
        if request.patience_ms <= 0:
            self.reject_leg(leg, CAUSE_TEMPORARY_FAILURE, "too late", 0.0)
        elif exchange.knows(request.call):
            # Guards against an answer or a release that is taken for that of another set-up with this id.
            self._counters.add("bad_set_ups")
            log_event(logging.WARNING, "caller_duplicate", call=request.call)
            self.reject_leg(leg, CAUSE_INVALID, "an id that was used before", 0.0)
        elif exchange.admission.runs_elsewhere(request.call):
            self._counters.add("open_elsewhere")
            leg.send_refusal(request.call, exchange.stay_away_ms)
        elif self._is_refusing():
            # Guards against callers that keep placing calls during a drain, so that it never ends.
            exchange.refuse_set_up(request, leg)
        else:
            leg.request, leg.codec = request, request.codec
            exchange.handle_set_up(request, leg)

    def _handle_caller_release(self, leg: CallerLeg, cause: int) -> None:
        request, leg.request = leg.request, None
        if request is not None:
            self._exchange.handle_caller_release(request.call, cause)

    def _remove_leg(self, leg: CallerLeg) -> None:
        self._legs.remove(leg)
        self._liveness.remove(leg.source)
        self._admission.remove_leg(leg.peer[0][0], leg.source)
        if self._by_peer.get(leg.peer) is leg:
            del self._by_peer[leg.peer]
        now = self._now_ms()
        self._used_tokens[leg.token] = now
        while (
            len(self._used_tokens) > MAX_USED_TOKENS
            or next(iter(self._used_tokens.values())) < now - call_tokens.LIFETIME_MS
        ):
            self._used_tokens.popitem(last=False)

    def answer_leg(self, leg: CallerLeg, description: bytes) -> None:
        """Send the answer; the call is established."""
        leg.answer(leg.codec, answer_elements(description), self._now_ms())
        self._liveness.add(leg.source, self._now_ms())
        self._legs.flush(leg, [])

    def reject_leg(self, leg: CallerLeg, cause: int, reason: str, stay_away_ms: float) -> None:
        """Send REJECT for a refused or failed set-up."""
        leg.request = None
        leg.reject(cause, reason, stay_away_ms, self._now_ms())
        self._legs.flush(leg, [])

    def relay_media(self, leg: CallerLeg, media: Media) -> None:
        """Send the server's media to the caller."""
        self._counters.add("media_to_callers")
        leg.transmit_media(media, self._now_ms())
        self._legs.flush(leg, [])

    def release(self, leg: CallerLeg, cause: int) -> None:
        """Hang up an established call."""
        leg.request = None
        self._liveness.remove(leg.source)
        leg.hang_up(cause, self._now_ms())
        self._legs.flush(leg, [])

    def _check_legs(self) -> None:
        now = self._now_ms()
        for number in self._admission.overdue(now):
            leg = self._legs.get(number)
            if leg is not None:
                # Guards against legs whose callers never answer the challenge.
                self._counters.add("iax2_half_open_dropped")
                self._discard_leg(leg)
        self._counters.add("pings_out", self._legs.ping(self._liveness.check(now).legs_to_ping))
        self._exchange.after_ms(CHECK_MS, self._check_legs)

    def finish(self) -> None:
        """Release established calls on both sides: this process is about to end, and its legs with it."""
        for leg in self._legs.all():
            if leg.is_answered and not leg.is_closing:
                self._handle_caller_release(leg, CAUSE_TEMPORARY_FAILURE)
                self.release(leg, CAUSE_NETWORK_OUT_OF_ORDER)


class CallerSides:
    """The callers' sides of all protocols as the one side that the exchange uses."""

    def __init__(self, common: CallerSide, listener: IaxListener, counters: Counters) -> None:
        """`common` gets the releases of all calls without a leg, such as those from before a restart."""
        self._common, self._listener, self._counters = common, listener, counters

    def release(self, call: str, cause: int, caller: Caller | None) -> None:
        """Release a call at the side that its caller uses."""
        if isinstance(caller, CallerLeg):
            self._counters.add("releases_out")
            self._listener.release(caller, cause)
        else:
            self._common.release(call, cause, caller)
