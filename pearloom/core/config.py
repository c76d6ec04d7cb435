"""Configuration of a softswitch: the BALANCER_* environment variables and the JSON file."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from hashlib import sha256
from pathlib import Path
from typing import Any

from pearloom import interface as api
from pearloom.settings import flatten, read_settings

Address = tuple[str, int]
NEVER_US = 1e15  # where the settings name no idle time
_POOL_STATES = {
    "in_service": api.PoolState.READY,
    "terminating": api.PoolState.DRAINING,
    "terminated": api.PoolState.GONE,
}


class ConfigError(ValueError):
    """The configuration is unusable."""


@dataclass(frozen=True, slots=True)
class Server:
    """One server of the pool list: its entry for the decision module, and its network address."""

    entry: api.PoolEntry
    address: Address
    zone: str = ""  # name; empty where the list does not name one


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """One numbered list event of the coordinator."""

    index: int
    whole: bool  # a complete list, not changes to one
    servers: tuple[Server, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration as read at the start."""

    name: str
    listen: Address
    management: Address | None
    seed: int
    coordinator: Address
    known_index: int  # number of the latest list event that is known
    known: tuple[ListUpdate, ...]
    known_digest: str  # of the known list, from which the numbers of list events count
    settings: api.Settings
    class_names: tuple[str, ...]
    tenant_names: tuple[str, ...]
    zone_names: tuple[str, ...]
    max_width: int  # circuits of the widest call
    dial_timeout_ms: float
    idle_ms: float  # after which a session server closes an idle connection
    handshake_price: float  # points that the settings charge for a new connection, per first attempt
    round_ms: float  # time step of the decision module
    descriptors: int  # limit of open files and sockets
    memory_mb: float  # that the process may use


def read_address(text: str) -> Address:
    """Read `host:port` with a numeric port; raises ConfigError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{text!r} is not an address with a port")
    return host, int(port)


def read_update(update: Mapping[str, Any]) -> ListUpdate:
    """Read one list event of `known`; raises KeyError, ValueError or TypeError where it is invalid."""
    listed = update["endpoints"]
    servers = tuple(
        Server(
            api.PoolEntry(
                str(host["host"]),
                int(host.get("block", 0)),
                _POOL_STATES[host["health"]],
                int(host.get("born_ms", 0)) * 1000,
            ),
            read_address(host["dial"]),
            str(host.get("site") or ""),
        )
        for host in listed["hosts"]
    )
    return ListUpdate(int(update["index"]), bool(listed["whole"]), servers)


def _positive(name: str, value: object) -> float:
    """Read a finite number above 0; raises ConfigError or ValueError."""
    number = float(str(value))
    if not 0 < number < math.inf:
        raise ConfigError(f"{name}: must be above 0, not {value}")
    return number


def _unique_names(section: str, entries: Sequence[Mapping[str, Any]]) -> tuple[str, ...]:
    """Return the names in order; raises ConfigError where one is empty or occurs twice."""
    names = tuple(str(entry["name"]) for entry in entries)
    if not all(names) or len(set(names)) < len(names):
        raise ConfigError(f"{section}: each entry needs a unique name, not {', '.join(names)}")
    return names


def read_config(environment: Mapping[str, str]) -> Config:
    """Read the environment and the file that it names; raises ConfigError with a one-line reason."""
    path = environment.get("BALANCER_CONFIG", "")
    if not path:
        raise ConfigError("BALANCER_CONFIG is not set")
    try:
        document = json.loads(Path(path).read_text(encoding="utf-8"))
        params = flatten(document["settings"])
        known = document.get("known") or {}
        management = environment.get("BALANCER_MANAGEMENT") or str(document.get("management") or "")
        limits = document.get("limits", {})
        updates = tuple(read_update(update) for update in known.get("updates", ()))
        return Config(
            name=environment.get("BALANCER_NAME") or str(document["name"]),
            listen=read_address(environment.get("BALANCER_LISTEN") or document["listen"]),
            management=read_address(management) if management else None,
            seed=int(str(document["seed"]), 16),
            coordinator=read_address(document["coordinator"]),
            known_index=int(known.get("index", updates[-1].index if updates else 0)),
            known=updates,
            known_digest=sha256(json.dumps(known, sort_keys=True).encode()).hexdigest(),
            settings=read_settings(params),
            class_names=_unique_names("services", document["settings"]["services"]),
            tenant_names=_unique_names("tenants", document["settings"].get("tenants") or ()),
            zone_names=tuple(str(zone) for zone in document["settings"].get("zones") or ()),
            max_width=max(
                (int(width) for width in document["settings"].get("specifics", {}).get("channelsNeeded", ())),
                default=1,
            ),
            dial_timeout_ms=_positive("limits.dialTimeoutUs", params.get("limits.dialTimeoutUs", 500_000))
            / 1000.0,
            idle_ms=_positive("limits.connIdleUs", params.get("limits.connIdleUs") or NEVER_US) / 1000.0,
            handshake_price=float(params.get("prices.handshake", 0.0)),
            round_ms=max(float(params.get("roundUs", 1000)) / 1000.0, 1.0),
            descriptors=int(_positive("limits.sockets", limits.get("sockets", 1024))),
            memory_mb=_positive("limits.memory_mb", limits.get("memory_mb", 192)),
        )
    except ConfigError:
        raise
    except KeyError as missing:
        raise ConfigError(f"{path}: {missing} is missing or unknown") from missing
    except (OSError, ValueError, TypeError, AttributeError, OverflowError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from error
