"""The record `iax2` of the operator's file, validated."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from fnmatch import fnmatchcase

from pearloom.core.config import Address, ConfigError, read_address
from pearloom.iax2.admission import AdmissionLimits
from pearloom.records import Fields

_SERVER_PATTERN = r"s-[0-9a-f*?]{1,8}"
_USERNAME_PATTERN = r"[!-~]{1,64}"


@dataclass(frozen=True, slots=True)
class Iax2Settings:
    """The operator's settings of IAX2."""

    listen: Address | None = None  # where callers connect; None: no callers over IAX2
    secrets: Mapping[str, str] = field(default_factory=dict)  # callers by their USERNAME; empty: no challenge
    servers: tuple[str, ...] = ()  # ids of servers that use IAX2; * and ? are wildcards for digits
    server_secrets: Mapping[str, str] = field(default_factory=dict)  # by server id
    default_class: str = ""  # for callers that name no class; empty: such a set-up is refused
    limits: AdmissionLimits = field(default_factory=AdmissionLimits)

    def uses_iax2(self, server: str) -> bool:
        """Return whether this session server uses IAX2."""
        return any(fnmatchcase(server, pattern) for pattern in self.servers)


def read_limits(fields: Fields) -> AdmissionLimits:
    """Read the record `limits`; raises RecordError for an invalid value."""
    defaults = AdmissionLimits()
    return AdmissionLimits(
        legs=int(fields.number("legs", defaults.legs, 1, 30_000, is_integer=True)),
        legs_per_source=int(
            fields.number("legs_per_source", defaults.legs_per_source, 1, 30_000, is_integer=True)
        ),
        half_open=int(fields.number("half_open", defaults.half_open, 1, 30_000, is_integer=True)),
        half_open_ms=float(fields.number("half_open_ms", defaults.half_open_ms, 100, 60_000)),
        tokens_per_s=float(fields.number("tokens_per_s", defaults.tokens_per_s, 1, 100_000)),
    )


def read_iax2(fields: Fields, class_names: tuple[str, ...]) -> Iax2Settings:
    """Read the record `iax2`; raises RecordError, which says what is wrong and where."""
    listen = fields.text("listen", "", r"[^:]+:[0-9]{1,5}", "an address with a port")
    try:
        address = read_address(listen) if listen else None
    except ConfigError as error:
        raise fields.error("listen", f"has to be an address with a port: {error}") from None
    default_class = fields.text("default_class", "")
    if default_class and default_class not in class_names:
        raise fields.error("default_class", f"has to be one of {', '.join(class_names)}")
    servers = fields.texts("servers", _SERVER_PATTERN, "a server's id, such as s-0000000a or s-0000*")
    server_secrets = fields.table("server_secrets", r"s-[0-9a-f]{8}", "a server's id")
    settings = Iax2Settings(
        listen=address,
        secrets=fields.table("secrets", _USERNAME_PATTERN, "a name of 1 to 64 signs without blanks"),
        servers=servers,
        server_secrets=server_secrets,
        default_class=default_class,
        limits=fields.read("limits", read_limits) or AdmissionLimits(),
    )
    for server in server_secrets:
        if not settings.uses_iax2(server):
            raise fields.error("server_secrets", f"names {server}, which is none of the servers")
    for name, secret in (*settings.secrets.items(), *server_secrets.items()):
        if not re.fullmatch(r".{8,128}", secret):
            raise fields.error("secrets", f"of {name} has to have 8 to 128 signs")
    return settings
