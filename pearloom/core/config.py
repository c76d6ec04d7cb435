"""What a softswitch is told at its start: BALANCER_* and the JSON file."""

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
NEVER_US = 1e15  # where the settings name no such time
_STATES = {
    "in_service": api.PoolState.READY,
    "terminating": api.PoolState.DRAINING,
    "terminated": api.PoolState.GONE,
}


class ConfigError(ValueError):
    """The softswitch was told something that it cannot work with."""


@dataclass(frozen=True, slots=True)
class Server:
    """One line of the pool list on this network: the module's entry and where to dial it."""

    entry: api.PoolEntry
    address: Address
    zone: str = ""  # by name; empty where the list does not tell


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """One numbered event of the coordinator."""

    index: int
    whole: bool
    servers: tuple[Server, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """Everything told at the start."""

    name: str
    listen: Address
    management: Address | None
    seed: int
    coordinator: Address
    known_index: int
    known: tuple[ListUpdate, ...]
    known_digest: str  # the numbers of events count from the list that this stands for
    settings: api.Settings
    class_names: tuple[str, ...]
    tenant_names: tuple[str, ...]
    zone_names: tuple[str, ...]
    max_width: int
    dial_timeout_ms: float
    idle_ms: float  # after which a session server closes a connection that is idle
    handshake_price: float  # points for a new connection a first try
    round_ms: float
    descriptors: int
    memory_mb: float


def read_address(text: str) -> Address:
    """`host:port` with a numeric port."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{text!r} is not an address with a port")
    return host, int(port)


def read_update(update: Mapping[str, Any]) -> ListUpdate:
    """One event of `known`."""
    listed = update["endpoints"]
    servers = tuple(
        Server(
            api.PoolEntry(
                str(host["host"]),
                int(host.get("block", 0)),
                _STATES[host["health"]],
                int(host.get("born_ms", 0)) * 1000,
            ),
            read_address(host["dial"]),
            str(host.get("site") or ""),
        )
        for host in listed["hosts"]
    )
    return ListUpdate(int(update["index"]), bool(listed["whole"]), servers)


def _above_zero(name: str, value: object) -> float:
    """A finite number above 0."""
    number = float(str(value))
    if not 0 < number < math.inf:
        raise ConfigError(f"{name}: must be above 0, not {value}")
    return number


def _names(of: str, listed: Sequence[Mapping[str, Any]]) -> tuple[str, ...]:
    """The names of classes or tenants, in order; none may be empty or stand twice."""
    names = tuple(str(one["name"]) for one in listed)
    if not all(names) or len(set(names)) < len(names):
        raise ConfigError(f"{of}: each needs a name of its own, not {', '.join(names)}")
    return names


def read_config(environment: Mapping[str, str]) -> Config:
    """Read the environment and the file it names; a ConfigError says in one line what is unusable."""
    path = environment.get("BALANCER_CONFIG", "")
    if not path:
        raise ConfigError("BALANCER_CONFIG is not set")
    try:
        told = json.loads(Path(path).read_text(encoding="utf-8"))
        params = flatten(told["settings"])
        known = told.get("known") or {}
        management = environment.get("BALANCER_MANAGEMENT") or str(told.get("management") or "")
        limits = told.get("limits", {})
        updates = tuple(read_update(update) for update in known.get("updates", ()))
        return Config(
            name=environment.get("BALANCER_NAME") or str(told["name"]),
            listen=read_address(environment.get("BALANCER_LISTEN") or told["listen"]),
            management=read_address(management) if management else None,
            seed=int(str(told["seed"]), 16),
            coordinator=read_address(told["coordinator"]),
            known_index=int(known.get("index", updates[-1].index if updates else 0)),
            known=updates,
            known_digest=sha256(json.dumps(known, sort_keys=True).encode()).hexdigest(),
            settings=read_settings(params),
            class_names=_names("services", told["settings"]["services"]),
            tenant_names=_names("tenants", told["settings"].get("tenants") or ()),
            zone_names=tuple(str(zone) for zone in told["settings"].get("zones") or ()),
            max_width=max(
                (int(width) for width in told["settings"].get("specifics", {}).get("channelsNeeded", ())),
                default=1,
            ),
            dial_timeout_ms=_above_zero("limits.dialTimeoutUs", params.get("limits.dialTimeoutUs", 500_000))
            / 1000.0,
            idle_ms=_above_zero("limits.connIdleUs", params.get("limits.connIdleUs") or NEVER_US) / 1000.0,
            handshake_price=float(params.get("prices.handshake", 0.0)),
            round_ms=max(float(params.get("roundUs", 1000)) / 1000.0, 1.0),
            descriptors=int(_above_zero("limits.sockets", limits.get("sockets", 1024))),
            memory_mb=_above_zero("limits.memory_mb", limits.get("memory_mb", 192)),
        )
    except ConfigError:
        raise
    except KeyError as missing:
        raise ConfigError(f"{path}: {missing} is missing or unknown") from missing
    except (OSError, ValueError, TypeError, AttributeError, OverflowError, RecursionError) as trouble:
        raise ConfigError(f"{path}: {trouble}") from trouble
