"""What of a call stands where in IAX2 frames; docs/iax2.md shows it as one table. No state."""

from __future__ import annotations

from collections.abc import Mapping

from pearloom.core.calls import SetUpAttempt, SetUpRequest
from pearloom.core.errors import Malformed
from pearloom.core.set_up_validation import SetUpValidator
from pearloom.iax2.frames import VERSION, Element, Elements, join_description, split_description

Pairs = list[tuple[int, bytes]]
ULAW, ALAW = 4, 8  # codecs (8.7)
ANY_CODEC = ULAW | ALAW
_CALL_OCTETS = 8


def set_up_elements(set_up: SetUpAttempt, username: str) -> Pairs:
    """A set-up as the elements of a NEW; a codec that its caller named is the only one that is offered."""
    offer = set_up.request
    codec = offer.codec or ULAW
    pairs: Pairs = [
        (Element.VERSION, VERSION.to_bytes(2, "big")),
        (Element.CALLED_NUMBER, offer.number.encode("ascii")),
        (Element.CALLED_CONTEXT, offer.class_name.encode("ascii")),
        (Element.FORMAT, codec.to_bytes(4, "big")),
        (Element.CAPABILITY, (offer.codec or ANY_CODEC).to_bytes(4, "big")),
        (Element.CALL, bytes.fromhex(offer.call)),
        (Element.PATIENCE_MS, max(int(set_up.ring_limit_ms), 1).to_bytes(4, "big")),
    ]
    if username:
        pairs.append((Element.USERNAME, username.encode("ascii")))
    if offer.description:
        pairs += split_description(offer.description)
    return pairs


def caller_elements(offer: SetUpRequest, username: str = "") -> Pairs:
    """What a caller says of its call in a NEW: the same, and what is meant for the softswitch alone."""
    pairs = set_up_elements(SetUpAttempt(offer, 0, offer.patience_ms), username)
    pairs.append((Element.FIRST_CHOICE, offer.first_choice.to_bytes(4, "big", signed=True)))
    if offer.was_cut:
        pairs.append((Element.AGAIN, b"\x01"))
    return pairs


def _unsigned(value: bytes) -> int:
    return int.from_bytes(value[:8], "big")


def read_set_up(
    elements: Elements, rules: SetUpValidator, default_class: str, mint: str
) -> SetUpRequest | str:
    """The set-up in a NEW, or what is wrong with it.

    A plain IAX2 caller tells neither id, class nor patience: the id is then `mint`, the class the operator's
    default, and the patience the deadline of its class."""
    if elements.number(Element.VERSION, 2) != VERSION:
        return "no version 2"
    call = elements.get(Element.CALL)
    if call is not None and len(call) != _CALL_OCTETS:
        return "an id that is not 8 octets"
    class_name = elements.text(Element.CALLED_CONTEXT) or default_class
    patience, choice = elements.get(Element.PATIENCE_MS), elements.get(Element.FIRST_CHOICE)
    patience_ms = rules.deadline_ms(class_name) if patience is None else float(_unsigned(patience))
    description = join_description(elements)
    if isinstance(description, Malformed):
        return description.reason
    codec = elements.number(Element.FORMAT, 4) or 0
    if codec & (codec - 1):
        return "a format of several codecs"
    offer = rules.validated_request(
        call=mint if call is None else call.hex(),
        class_name=class_name,
        number=elements.text(Element.CALLED_NUMBER) or "",
        description=description or b"",
        patience_ms=patience_ms,
        first_choice=-1 if choice is None else int.from_bytes(choice, "big", signed=True),
        was_cut=elements.get(Element.AGAIN) == b"\x01",
    )
    if offer is None:
        return "a class, number, patience or first choice that no call can have"
    offer.codec = codec
    return offer


def answer_elements(description: bytes) -> Pairs:
    """An answer as the elements in an ANSWER's data."""
    return split_description(description) if description else []


def find_secret(elements: Elements, secrets: Mapping[str, str]) -> str | None:
    """The secret that this caller has to know; empty where none is set, None where nobody has that name."""
    if not secrets:
        return ""
    return secrets.get(elements.text(Element.USERNAME) or "")
