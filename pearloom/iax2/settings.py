"""The record `iax2` of the operator's file."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from fnmatch import fnmatchcase

from pearloom.core.config import Address, ConfigError, read_address
from pearloom.iax2.admission import Limits
from pearloom.records import Fields

_SERVER = r"s-[0-9a-f*?]{1,8}"
_USER = r"[!-~]{1,64}"


@dataclass(frozen=True, slots=True)
class Iax2:
    """What the operator says of IAX2."""

    listen: Address | None = None  # callers; None: none are taken
    secrets: Mapping[str, str] = field(default_factory=dict)  # callers by their USERNAME; empty: no challenge
    servers: tuple[str, ...] = ()  # ids that speak it; * and ? stand for any digits
    server_secrets: Mapping[str, str] = field(default_factory=dict)  # by id
    default_class: str = ""  # of a caller that names none; empty: such a set-up is refused
    limits: Limits = field(default_factory=Limits)

    def speaks(self, server: str) -> bool:
        """Does this server speak IAX2?"""
        return any(fnmatchcase(server, pattern) for pattern in self.servers)


def read_limits(fields: Fields) -> Limits:
    """The record `limits`."""
    base = Limits()
    return Limits(
        legs=int(fields.number("legs", base.legs, 1, 30_000, is_integer=True)),
        legs_per_source=int(
            fields.number("legs_per_source", base.legs_per_source, 1, 30_000, is_integer=True)
        ),
        half_open=int(fields.number("half_open", base.half_open, 1, 30_000, is_integer=True)),
        half_open_ms=float(fields.number("half_open_ms", base.half_open_ms, 100, 60_000)),
        tokens_per_s=float(fields.number("tokens_per_s", base.tokens_per_s, 1, 100_000)),
    )


def read_iax2(fields: Fields, class_names: tuple[str, ...]) -> Iax2:
    """The record `iax2`; a RecordError says what is wrong and where."""
    listen = fields.text("listen", "", r"[^:]+:[0-9]{1,5}", "an address with a port")
    try:
        address = read_address(listen) if listen else None
    except ConfigError as trouble:
        raise fields.error("listen", f"has to be an address with a port: {trouble}") from None
    default_class = fields.text("default_class", "")
    if default_class and default_class not in class_names:
        raise fields.error("default_class", f"has to be one of {', '.join(class_names)}")
    servers = fields.texts("servers", _SERVER, "a server's id, such as s-0000000a or s-0000*")
    server_secrets = fields.table("server_secrets", r"s-[0-9a-f]{8}", "a server's id")
    found = Iax2(
        listen=address,
        secrets=fields.table("secrets", _USER, "a name of 1 to 64 signs without blanks"),
        servers=servers,
        server_secrets=server_secrets,
        default_class=default_class,
        limits=fields.read("limits", read_limits) or Limits(),
    )
    for server in server_secrets:
        if not found.speaks(server):
            raise fields.error("server_secrets", f"names {server}, which is none of the servers")
    for name, secret in (*found.secrets.items(), *server_secrets.items()):
        if not re.fullmatch(r".{8,128}", secret):
            raise fields.error("secrets", f"of {name} has to have 8 to 128 signs")
    return found
