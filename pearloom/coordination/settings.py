"""The record `store` of the operator's file: where the fleet agrees."""

from __future__ import annotations

from dataclasses import dataclass

from pearloom.core.config import Address, ConfigError, read_address
from pearloom.records import Fields

_PREFIX = r"/([!-.0-~]+/)*"


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Where the store is, and how long things may take."""

    addresses: tuple[Address, ...]  # tried in this order, the next one after a failure
    prefix: str = "/pearloom/"
    timeout_ms: float = 1_000.0  # of one call
    lease_s: int = 5
    fresh_ms: float = 3_000.0  # on what was read longer ago nothing new is started


def read_store(fields: Fields) -> StoreSettings:
    """The record `store`; a RecordError says what is wrong and where."""
    at: list[Address] = []
    for text in fields.texts("at", r"[^:]+:[0-9]{1,5}", "an address with a port"):
        try:
            at.append(read_address(text))
        except ConfigError as trouble:
            raise fields.error("at", f"has to hold addresses with ports: {trouble}") from None
    if not at:
        raise fields.error("at", "has to name at least one address of the store")
    prefix = fields.text("prefix", "/pearloom/", _PREFIX, "a path that begins and ends with a slash")
    timeout_ms = fields.number("timeout_ms", 1_000, 50, 10_000)
    lease_s = int(fields.number("lease_s", 5, 2, 600, is_integer=True))
    if timeout_ms * 2 > lease_s * 1000:
        # Guards against a lease that ends while its own renewal still waits for an answer.
        raise fields.error("timeout_ms", f"has to be at most half of lease_s ({lease_s} s)")
    return StoreSettings(
        tuple(at), prefix, timeout_ms, lease_s, fields.number("fresh_ms", 3_000, 500, 60_000)
    )
