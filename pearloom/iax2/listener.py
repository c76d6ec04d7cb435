"""Callers over IAX2: one socket, a leg a call, and nothing kept for a source without a token."""

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

WATCH_MS = 100.0  # how often legs are looked at
CAUSE_INVALID = 96  # Q.931: a mandatory element is missing
CAUSE_REJECTED = 21  # Q.931: call rejected
TOKENS_KEPT = 20_000  # of NEWs whose legs are over: the same NEW may still come again
_Peer = tuple[Address, int]


class CallerLeg(InLeg):
    """A leg that a caller opened: `exchange.Caller` for the one call on it."""

    front: IaxListener
    peer: _Peer
    token: bytes
    offer: SetUpRequest | None = None
    codec = 0

    # --- exchange.Caller
    @property
    def is_connected(self) -> bool:
        """Has neither side hung up?"""
        return not self.is_ended

    def send_answer(self, call: str, description: bytes) -> None:
        """Pass the answer on."""
        self.front.answered(self, description)

    def send_refusal(self, call: str, stay_away_ms: float) -> None:
        """Turn the set-up away, and say when to come back."""
        self.front.turned_away(self, CAUSE_CONGESTION, "", stay_away_ms)

    def send_failure(self, call: str) -> None:
        """Say that the set-up failed."""
        self.front.turned_away(self, CAUSE_TEMPORARY_FAILURE, "", 0.0)

    def send_media(self, call: str, media: Media) -> None:
        """Pass on what the server's side says."""
        self.front.said(self, media)


class IaxListener:
    """Listens for callers, and tells those that it brought what became of their calls."""

    def __init__(
        self,
        exchange: Exchange,
        clock: Clock,
        counters: Counters,
        settings: Iax2Settings,
        rules: SetUpValidator,
        is_in_service: Callable[[], bool],
        is_refusing: Callable[[], bool],
    ) -> None:
        """Listen to nobody yet; `takes_work`: is a POKE answered? `refuses`: is it too late for set-ups?"""
        self._exchange, self._clock, self._counters = exchange, clock, counters
        self._settings, self._rules = settings, rules
        self._takes_work, self._refuses = is_in_service, is_refusing
        self._key = secrets.token_bytes(32)
        self._admission = Admission(settings.limits, clock.now_ms())
        self._port = UdpPort(self._datagram, lambda: self._legs.flush_all())
        self._legs: Legs[CallerLeg] = Legs(
            exchange,
            clock.now_ms,
            lambda leg, data: self._port.send(data, leg.peer[0]),
            self._event,
            1 + secrets.randbelow(0x7000),
        )
        self._by_peer: dict[_Peer, CallerLeg] = {}
        self._spent: OrderedDict[bytes, float] = OrderedDict()
        self._liveness = Liveness(clock.now_ms(), one_peer=False)

    def listen(self, address: Address) -> Address:
        """Take callers from now on; returns where."""
        where = self._port.listen(address)
        self._watch()
        return where

    def _now_ms(self) -> float:
        return self._clock.now_ms()

    # --- what comes -----------------------------------------------------------------------------------------
    def _datagram(self, data: bytes, source: Address) -> None:
        frames = decode(data)
        if isinstance(frames, Malformed):
            self._malformed(frames.reason)
            return
        for frame in frames:
            if isinstance(frame, MiniFrame):
                leg = self._by_peer.get((source, frame.source))
            elif frame.is_iax(Iax.NEW):
                self._new(frame, source)
                continue
            else:
                leg = self._leg_of(frame, source)
            if leg is not None:
                self._feed(leg, frame)
            elif isinstance(frame, FullFrame):
                self._without_leg(frame, source)

    def _malformed(self, reason: str) -> None:
        self._counters.add("malformed_from_callers")
        log_event(logging.WARNING, "caller_malformed", reason=reason, call="", closed=False)

    def _feed(self, leg: CallerLeg, frame: FullFrame | MiniFrame) -> None:
        now = self._now_ms()
        self._liveness.heard(leg.source, now)
        self._legs.took(leg, leg.feed(frame, now))

    def _leg_of(self, frame: FullFrame, source: Address) -> CallerLeg | None:
        """Guards against frames that speak for another's leg: address and both numbers have to fit."""
        leg = self._by_peer.get((source, frame.source))
        return leg if leg is not None and frame.destination in (0, leg.source) else None

    def _without_leg(self, frame: FullFrame, source: Address) -> None:
        if frame.is_iax(Iax.POKE):
            # A front's test: one that is drained says nothing, as IAX2 has no word for no.
            if self._takes_work() and self._admission.may_reply(source[0], self._now_ms()):
                self._port.send(answer_without_leg(frame, Iax.PONG), source)
        elif not frame.is_iax(Iax.INVAL):
            self._counters.add("iax2_no_leg")
            if self._admission.may_reply(source[0], self._now_ms()):
                self._port.send(answer_without_leg(frame, Iax.INVAL), source)

    # --- NEW ------------------------------------------------------------------------------------------------
    def _new(self, frame: FullFrame, source: Address) -> None:
        now = self._now_ms()
        elements = decode_elements(frame.data)
        if isinstance(elements, Malformed):
            self._malformed(elements.reason)
            return
        token = elements.get(Element.CALLTOKEN)
        if not token or not call_tokens.is_valid(self._key, source, frame.source, token, now):
            self._ask_token(frame, source, token, now)
            return
        self._admission.showed(source[0], now)
        leg = self._by_peer.get((source, frame.source))
        if leg is not None and leg.token == token:
            self._feed(leg, frame)  # the same NEW again
        elif token in self._spent:
            # Guards against a late copy of a NEW whose leg is over: no caller sent a second set-up.
            self._counters.add("iax2_late_new")
        else:
            if leg is not None:
                self._forgotten(leg)
            self._open(frame, source, elements, token, now)

    def _ask_token(self, frame: FullFrame, source: Address, token: bytes | None, now: float) -> None:
        """Keep nothing: whoever hears the answer brings it back."""
        if not self._admission.may_reply(source[0], now):
            self._counters.add("iax2_tokens_withheld")
            return
        if token is None:
            # RFC 5456 has no other word for a caller that can't bring one.
            pairs = [(Element.CAUSECODE, bytes((CAUSE_REJECTED,))), (Element.CAUSE, b"call token needed")]
            self._counters.add("iax2_without_token")
            self._port.send(answer_without_leg(frame, Iax.REJECT, Elements(pairs).encode()), source)
            return
        self._counters.add("iax2_tokens_out")
        made = call_tokens.issue(self._key, source, frame.source, now)
        elements = Elements([(Element.CALLTOKEN, made)]).encode()
        self._port.send(answer_without_leg(frame, Iax.CALLTOKEN, elements), source)

    def _open(self, frame: FullFrame, source: Address, elements: Elements, token: bytes, now: float) -> None:
        secret = find_secret(elements, self._settings.secrets)
        turned = self._admission.turns(source[0], bool(secret))
        number = self._legs.number() if turned is None and secret is not None else None
        if number is None:
            why = "unknown user" if secret is None else turned.value if turned else "call numbers"
            self._counters.add("iax2_turned_away")
            log_event(logging.INFO, "iax2_turned_away", reason=why, source=source[0])
            cause = CAUSE_REJECTED if secret is None else CAUSE_CONGESTION
            pairs = [(Element.CAUSECODE, bytes((cause,)))]
            if secret is not None:
                stay_away_ms = round(self._exchange.stay_away_ms)
                pairs.append((Element.STAY_AWAY_MS, stay_away_ms.to_bytes(4, "big")))
            self._port.send(answer_without_leg(frame, Iax.REJECT, Elements(pairs).encode()), source)
            return
        leg = CallerLeg(number, frame, elements, secret or "", secrets.token_hex(8), now)
        leg.front, leg.peer, leg.token = self, (source, frame.source), token
        self._admission.opened(source[0], number, bool(secret), now)
        self._legs.add(leg)
        self._by_peer[leg.peer] = leg
        self._counters.add("iax2_legs")
        self._legs.took(leg, leg.start(now))

    def _forgotten(self, leg: CallerLeg) -> None:
        """The caller uses this leg's number for a new call: it has started anew and knows no old one."""
        self._left(leg, CAUSE_TEMPORARY_FAILURE)
        self._drop(leg)

    def _drop(self, leg: CallerLeg) -> None:
        leg.is_ended = True
        self._over(leg)

    # --- what happens on legs -------------------------------------------------------------------------------
    def _event(self, leg: CallerLeg, event: Event) -> None:
        match event:
            case SetUpReceived(elements):
                self._admission.settled(leg.source)
                self._offered(leg, elements)
            case HungUp(cause):
                self._left(leg, cause)
            case LegLost(reason):
                log_event(logging.INFO, "iax2_caller_gone", reason=reason)
                self._left(leg, CAUSE_TEMPORARY_FAILURE)
            case MediaReceived(media) if leg.offer is not None:
                self._counters.add("media_from_callers")
                self._exchange.relay_caller_media(leg.offer.call, media)
            case LegEnded():
                self._over(leg)

    def _offered(self, leg: CallerLeg, elements: Elements) -> None:
        exchange = self._exchange
        offer = read_set_up(elements, self._rules, self._settings.default_class, secrets.token_hex(8))
        if isinstance(offer, str):
            self._counters.add("bad_set_ups")
            log_event(logging.WARNING, "caller_bad_set_up", call="", reason=offer)
            self.turned_away(leg, CAUSE_INVALID, offer, 0.0)
            return
        # Guards against an answer after the give-up: the caller has waited since its first NEW.
        offer.patience_ms -= call_tokens.age_ms(leg.token, self._now_ms())
        if offer.patience_ms <= 0:
            self.turned_away(leg, CAUSE_TEMPORARY_FAILURE, "too late", 0.0)
        elif exchange.has_call(offer.call) or exchange.is_recently_ended(offer.call):
            # Guards against an answer or a release that would be taken for that of another set-up.
            self._counters.add("bad_set_ups")
            log_event(logging.WARNING, "caller_duplicate", call=offer.call)
            self.turned_away(leg, CAUSE_INVALID, "an id that was used before", 0.0)
        elif offer.call in exchange.open_elsewhere:
            self._counters.add("open_elsewhere")
            leg.send_refusal(offer.call, exchange.stay_away_ms)
        elif self._refuses():
            # Guards against callers that stay through a drain and so keep it from its end.
            exchange.refuse_set_up(offer, leg)
        else:
            leg.offer, leg.codec = offer, offer.codec
            exchange.handle_set_up(offer, leg)

    def _left(self, leg: CallerLeg, cause: int) -> None:
        offer, leg.offer = leg.offer, None
        if offer is not None:
            self._exchange.handle_caller_release(offer.call, cause)

    def _over(self, leg: CallerLeg) -> None:
        self._legs.gone(leg)
        self._liveness.over(leg.source)
        self._admission.closed(leg.peer[0][0], leg.source)
        if self._by_peer.get(leg.peer) is leg:
            del self._by_peer[leg.peer]
        now = self._now_ms()
        self._spent[leg.token] = now
        while (
            len(self._spent) > TOKENS_KEPT or next(iter(self._spent.values())) < now - call_tokens.LIFETIME_MS
        ):
            self._spent.popitem(last=False)

    # --- what the exchange tells ----------------------------------------------------------------------------
    def answered(self, leg: CallerLeg, description: bytes) -> None:
        """The call stands."""
        leg.answer(leg.codec, answer_elements(description), self._now_ms())
        self._liveness.stands(leg.source, self._now_ms())
        self._legs.flush(leg, [])

    def turned_away(self, leg: CallerLeg, cause: int, why: str, stay_away_ms: float) -> None:
        """Refused or failed."""
        leg.offer = None
        leg.reject(cause, why, stay_away_ms, self._now_ms())
        self._legs.flush(leg, [])

    def said(self, leg: CallerLeg, media: Media) -> None:
        """The server's side says something."""
        self._counters.add("media_to_callers")
        leg.transmit_media(media, self._now_ms())
        self._legs.flush(leg, [])

    def release(self, leg: CallerLeg, cause: int) -> None:
        """A call that stood is over."""
        leg.offer = None
        self._liveness.over(leg.source)
        leg.hang_up(cause, self._now_ms())
        self._legs.flush(leg, [])

    # --- time -----------------------------------------------------------------------------------------------
    def _watch(self) -> None:
        now = self._now_ms()
        for number in self._admission.overdue(now):
            leg = self._legs.get(number)
            if leg is not None:
                # Guards against legs that are opened and never say who they are.
                self._counters.add("iax2_half_open_dropped")
                self._drop(leg)
        self._counters.add("pings_out", self._legs.ask(self._liveness.look(now).ask))
        self._exchange.after_ms(WATCH_MS, self._watch)

    def finish(self) -> None:
        """This process is about to end, and its legs with it: both sides are told, not left to find out."""
        for leg in self._legs.all():
            if leg.answered and not leg.is_closing:
                self._left(leg, CAUSE_TEMPORARY_FAILURE)
                self.release(leg, CAUSE_NETWORK_OUT_OF_ORDER)


class CallerSides:
    """The callers' sides of several protocols as the one that the exchange knows."""

    def __init__(self, common: CallerSide, front: IaxListener, counters: Counters) -> None:
        """What no leg is there for goes to `common`, as calls of before a restart do."""
        self._common, self._front, self._counters = common, front, counters

    def release(self, call: str, cause: int, caller: Caller | None) -> None:
        """Tell whoever brought the call."""
        if isinstance(caller, CallerLeg):
            self._counters.add("releases_out")
            self._front.release(caller, cause)
        else:
            self._common.release(call, cause, caller)
