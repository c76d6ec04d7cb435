"""Mapping between set-ups and information elements; docs/iax2.md shows it as one table. No state."""

from __future__ import annotations

from collections.abc import Mapping

from pearloom.core.calls import SetUpAttempt, SetUpRequest
from pearloom.core.errors import Malformed
from pearloom.core.set_up_validation import SetUpValidator
from pearloom.iax2.frames import VERSION, Element, Elements, join_description, split_description

Pairs = list[tuple[int, bytes]]
ULAW, ALAW = 4, 8  # codecs (RFC 5456, 8.7)
ANY_CODEC = ULAW | ALAW
_CALL_OCTETS = 8


def set_up_elements(set_up: SetUpAttempt, username: str) -> Pairs:
    """Return the elements of a NEW for a server; a codec that the caller named is the only one offered."""
    request = set_up.request
    codec = request.codec or ULAW
    pairs: Pairs = [
        (Element.VERSION, VERSION.to_bytes(2, "big")),
        (Element.CALLED_NUMBER, request.number.encode("ascii")),
        (Element.CALLED_CONTEXT, request.class_name.encode("ascii")),
        (Element.FORMAT, codec.to_bytes(4, "big")),
        (Element.CAPABILITY, (request.codec or ANY_CODEC).to_bytes(4, "big")),
        (Element.CALL, bytes.fromhex(request.call)),
        (Element.PATIENCE_MS, max(int(set_up.ring_limit_ms), 1).to_bytes(4, "big")),
    ]
    if username:
        pairs.append((Element.USERNAME, username.encode("ascii")))
    if request.description:
        pairs += split_description(request.description)
    return pairs


def caller_elements(request: SetUpRequest, username: str = "") -> Pairs:
    """Return the elements of a caller's NEW: those for a server, and those for the softswitch alone."""
    pairs = set_up_elements(SetUpAttempt(request, 0, request.patience_ms), username)
    pairs.append((Element.FIRST_CHOICE, request.first_choice.to_bytes(4, "big", signed=True)))
    if request.was_cut:
        pairs.append((Element.AGAIN, b"\x01"))
    return pairs


def _unsigned(value: bytes) -> int:
    return int.from_bytes(value[:8], "big")


def read_set_up(
    elements: Elements, validator: SetUpValidator, default_class: str, new_id: str
) -> SetUpRequest | str:
    """Return the set-up in a NEW, or the reason why it is invalid, which the caller gets with the REJECT.

    A plain IAX2 caller sends neither id, class nor patience: the id is then `new_id`, the class the
    operator's default, and the patience the deadline of its class."""
    if elements.number(Element.VERSION, 2) != VERSION:
        return "no version 2"
    call = elements.get(Element.CALL)
    if call is not None and len(call) != _CALL_OCTETS:
        return "an id that is not 8 octets"
    class_name = elements.text(Element.CALLED_CONTEXT) or default_class
    patience, choice = elements.get(Element.PATIENCE_MS), elements.get(Element.FIRST_CHOICE)
    patience_ms = validator.deadline_ms(class_name) if patience is None else float(_unsigned(patience))
    description = join_description(elements)
    if isinstance(description, Malformed):
        return description.reason
    codec = elements.number(Element.FORMAT, 4) or 0
    if codec & (codec - 1):
        return "a format of several codecs"
    request = validator.validated_request(
        call=new_id if call is None else call.hex(),
        class_name=class_name,
        number=elements.text(Element.CALLED_NUMBER) or "",
        description=description or b"",
        patience_ms=patience_ms,
        first_choice=-1 if choice is None else int.from_bytes(choice, "big", signed=True),
        was_cut=elements.get(Element.AGAIN) == b"\x01",
    )
    if request is None:
        return "a class, number, patience or first choice that no call can have"
    request.codec = codec
    return request


def answer_elements(description: bytes) -> Pairs:
    """Return the elements of an ANSWER."""
    return split_description(description) if description else []


def find_secret(elements: Elements, secrets: Mapping[str, str]) -> str | None:
    """Return the caller's secret: empty if callers need none, None if the user name is unknown."""
    if not secrets:
        return ""
    return secrets.get(elements.text(Element.USERNAME) or "")
