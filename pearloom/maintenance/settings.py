"""The record `turns` of the operator's file: limits and times of maintenance, zone and heartbeat period."""

from __future__ import annotations

from dataclasses import dataclass, field

from pearloom.maintenance.records import FORMAT, Limits
from pearloom.records import Fields

_ZONE = r"[A-Za-z0-9._-]{1,64}"


@dataclass(frozen=True, slots=True)
class MaintenanceSettings:
    """Maintenance settings of one softswitch."""

    zone: str = ""  # of this softswitch
    heartbeat_ms: float = 2_000.0  # period of its heartbeats
    limits: Limits = field(default_factory=Limits)


def read_maintenance_settings(fields: Fields) -> MaintenanceSettings:
    """Read the record `turns`; raises RecordError with the field and the reason."""
    defaults = Limits()
    number = fields.number
    limits = Limits(
        FORMAT,
        edition=int(number("edition", 1, 1, 1_000_000, is_integer=True)),
        out=int(number("out", defaults.out, 0, 1_000, is_integer=True)),
        out_zone=int(number("out_zone", defaults.out_zone, 0, 1_000, is_integer=True)),
        out_cell=int(number("out_cell", defaults.out_cell, 0, 1_000, is_integer=True)),
        floor=float(number("floor", defaults.floor, 0, 1)),
        take_up_ms=float(number("take_up_ms", defaults.take_up_ms, 1_000, 600_000)),
        drain_ms=float(number("drain_ms", defaults.drain_ms, 1_000, 3_600_000)),
        settle_ms=float(number("settle_ms", defaults.settle_ms, 0, 600_000)),
    )
    return MaintenanceSettings(
        zone=fields.text("zone", "", _ZONE, "a zone's name"),
        heartbeat_ms=float(number("beat_ms", 2_000, 200, 60_000)),
        limits=limits,
    )
