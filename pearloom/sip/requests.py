"""The SIP requests that a softswitch sends of a call."""

from __future__ import annotations

from pearloom.core.calls import SetUpAttempt
from pearloom.sip.codec import encode_request

BYE_SEQUENCE = 2  # CSeq; it need not be above the INVITE's, as the method tells the two apart


def sequence_of(set_up: SetUpAttempt) -> int:
    """The CSeq of an attempt's INVITE, counted from 1."""
    return set_up.attempt + 1


def invite(set_up: SetUpAttempt) -> bytes:
    """An attempt; what the caller brought goes on unchanged."""
    offer = set_up.request
    headers = {"X-Call-Class": offer.class_name, "X-Ring-Limit": str(max(int(set_up.ring_limit_ms), 1))}
    return encode_request("INVITE", offer.number, offer.call, sequence_of(set_up), headers, offer.description)


def cancel(set_up: SetUpAttempt) -> bytes:
    """The attempt is given up."""
    return encode_request("CANCEL", set_up.request.number, set_up.request.call, sequence_of(set_up), {})


def ack(call: str, number: str, sequence: int) -> bytes:
    """The final answer to the INVITE of this CSeq has come."""
    return encode_request("ACK", number, call, sequence, {})


def bye(call: str, number: str, cause: int) -> bytes:
    """A call that stands is released."""
    return encode_request("BYE", number, call, BYE_SEQUENCE, {"Reason": f"Q.850;cause={cause}"})
