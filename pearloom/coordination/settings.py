"""The record `store` of the operator's file: the store through which the fleet coordinates."""

from __future__ import annotations

from dataclasses import dataclass

from pearloom.core.config import Address, ConfigError, read_address
from pearloom.records import Fields

_PREFIX = r"/([!-.0-~]+/)*"


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Addresses, key prefix and times of the store."""

    addresses: tuple[Address, ...]  # tried in this order; each failure switches to the next
    prefix: str = "/pearloom/"
    timeout_ms: float = 1_000.0  # limit for one call
    lease_s: int = 5
    fresh_ms: float = 3_000.0  # nothing new is started from a snapshot older than this


def read_store(fields: Fields) -> StoreSettings:
    """Read the record `store`; raises RecordError with the field and the reason."""
    addresses: list[Address] = []
    for text in fields.texts("at", r"[^:]+:[0-9]{1,5}", "an address with a port"):
        try:
            addresses.append(read_address(text))
        except ConfigError as error:
            raise fields.error("at", f"has to hold addresses with ports: {error}") from None
    if not addresses:
        raise fields.error("at", "has to name at least one address of the store")
    prefix = fields.text("prefix", "/pearloom/", _PREFIX, "a path that begins and ends with a slash")
    timeout_ms = fields.number("timeout_ms", 1_000, 50, 10_000)
    lease_s = int(fields.number("lease_s", 5, 2, 600, is_integer=True))
    if timeout_ms * 2 > lease_s * 1000:
        # Guards against a lease that ends while its renewal still waits for a response.
        raise fields.error("timeout_ms", f"has to be at most half of lease_s ({lease_s} s)")
    return StoreSettings(
        tuple(addresses), prefix, timeout_ms, lease_s, fields.number("fresh_ms", 3_000, 500, 60_000)
    )
