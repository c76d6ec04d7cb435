"""The record `turns` of the operator's file: how much may be out at once, how long each phase may take."""

from __future__ import annotations

from dataclasses import dataclass, field

from pearloom.maintenance.records import FORMAT, Limits
from pearloom.records import Fields

_ZONE = r"[A-Za-z0-9._-]{1,64}"


@dataclass(frozen=True, slots=True)
class MaintenanceSettings:
    """What the operator says of turns."""

    zone: str = ""  # this softswitch's own
    heartbeat_ms: float = 2_000.0  # how often it tells of itself
    limits: Limits = field(default_factory=Limits)


def read_maintenance_settings(fields: Fields) -> MaintenanceSettings:
    """The record `turns`; a RecordError says what is wrong and where."""
    base = Limits()
    count = fields.number
    limits = Limits(
        FORMAT,
        edition=int(count("edition", 1, 1, 1_000_000, is_integer=True)),
        out=int(count("out", base.out, 0, 1_000, is_integer=True)),
        out_zone=int(count("out_zone", base.out_zone, 0, 1_000, is_integer=True)),
        out_cell=int(count("out_cell", base.out_cell, 0, 1_000, is_integer=True)),
        floor=float(count("floor", base.floor, 0, 1)),
        take_up_ms=float(count("take_up_ms", base.take_up_ms, 1_000, 600_000)),
        drain_ms=float(count("drain_ms", base.drain_ms, 1_000, 3_600_000)),
        settle_ms=float(count("settle_ms", base.settle_ms, 0, 600_000)),
    )
    return MaintenanceSettings(
        zone=fields.text("zone", "", _ZONE, "a zone's name"),
        heartbeat_ms=float(count("beat_ms", 2_000, 200, 60_000)),
        limits=limits,
    )
