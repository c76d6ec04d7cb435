"""The SIP requests that a softswitch sends for a call."""

from __future__ import annotations

from pearloom.core.calls import SetUpAttempt
from pearloom.sip.codec import encode_request

BYE_SEQUENCE = 2  # CSeq; it need not exceed the INVITE's, as CSeq names the method too


def sequence_of(set_up: SetUpAttempt) -> int:
    """Return the CSeq number of an attempt's INVITE, counted from 1."""
    return set_up.attempt + 1


def invite(set_up: SetUpAttempt) -> bytes:
    """Encode an attempt's INVITE; the caller's description is passed on unchanged."""
    request = set_up.request
    headers = {"X-Call-Class": request.class_name, "X-Ring-Limit": str(max(int(set_up.ring_limit_ms), 1))}
    return encode_request(
        "INVITE", request.number, request.call, sequence_of(set_up), headers, request.description
    )


def cancel(set_up: SetUpAttempt) -> bytes:
    """Encode the CANCEL of an attempt."""
    return encode_request("CANCEL", set_up.request.number, set_up.request.call, sequence_of(set_up), {})


def ack(call: str, number: str, sequence: int) -> bytes:
    """Encode the ACK of the final answer to the INVITE with this CSeq."""
    return encode_request("ACK", number, call, sequence, {})


def bye(call: str, number: str, cause: int) -> bytes:
    """Encode the BYE that releases an established call with a Q.850 cause."""
    return encode_request("BYE", number, call, BYE_SEQUENCE, {"Reason": f"Q.850;cause={cause}"})
