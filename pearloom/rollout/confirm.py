"""What each softswitch says of the head it goes by, and when a change is done. A decision: no I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from pearloom.coordination.port import Compare, Snapshot, Transaction, Write
from pearloom.coordination.values import decode_record

CONFIRMED = "rules/at/"
FORMAT = 1
MOST_WHY = 300


class Confirmation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One softswitch goes by this version of this head. `left`: the rollout it left by itself, and why."""

    format: int
    incarnation: int
    number: int
    version: str
    left: int = 0
    why: str = ""


@dataclass(frozen=True, slots=True)
class ConfirmationStatus:
    """Who goes by the head already: `waits` are live and have not said so, `away` can't say it."""

    pending: tuple[str, ...]
    absent: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Has every live softswitch confirmed?"""
        return not self.pending


def confirmations(snapshot: Snapshot) -> dict[str, Confirmation]:
    """By softswitch; what can't be read is not there."""
    found: dict[str, Confirmation] = {}
    for entry in snapshot.with_prefix(CONFIRMED):
        one = decode_record(entry.value, Confirmation, FORMAT)
        if one is not None and len(one.why) <= MOST_WHY:
            found[entry.key.removeprefix(CONFIRMED)] = one
    return found


def confirm(snapshot: Snapshot, name: str, said: Confirmation) -> Transaction | None:
    """Say it; None where it stands there already."""
    entry, value = snapshot.find(CONFIRMED + name), msgspec.json.encode(said)
    if entry is not None and entry.value == value:
        return None
    compare = Compare(CONFIRMED + name, entry.mod_revision if entry is not None else 0)
    return Transaction((compare,), (Write(CONFIRMED + name, value),))


def followed(
    number: int, live: Mapping[str, int], missing: Sequence[str], said: Mapping[str, Confirmation]
) -> ConfirmationStatus:
    """Who goes by head `number`; `live`: each live softswitch and its incarnation.

    What a former incarnation said counts for nothing: its process is gone, and this one may have begun with
    something else."""
    waits = [
        name for name, life in live.items()
        if name not in said or said[name].number < number or said[name].incarnation != life
    ]  # fmt: skip
    away = [name for name in missing if name not in said or said[name].number < number]
    return ConfirmationStatus(tuple(sorted(waits)), tuple(sorted(away)))
