"""Each softswitch's confirmation of the head it has applied, and when a change is complete. No I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from pearloom.coordination.port import Compare, Snapshot, Transaction, Write
from pearloom.coordination.values import decode_record

CONFIRMATIONS_PREFIX = "rules/at/"
FORMAT = 1
MAX_REASON_LENGTH = 300


class Confirmation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A softswitch has applied this version of this head."""

    format: int
    incarnation: int
    number: int  # of the head
    version: str
    left: int = 0  # id of the rollout that the softswitch left by itself; 0: none
    why: str = ""  # reason for leaving it


@dataclass(frozen=True, slots=True)
class ConfirmationStatus:
    """The softswitches that have not confirmed a head: `pending` are live, `absent` can't confirm now."""

    pending: tuple[str, ...]
    absent: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Whether every live softswitch has confirmed the head."""
        return not self.pending


def confirmations(snapshot: Snapshot) -> dict[str, Confirmation]:
    """Read the confirmations by softswitch; unreadable ones are left out."""
    confirmations: dict[str, Confirmation] = {}
    for entry in snapshot.with_prefix(CONFIRMATIONS_PREFIX):
        confirmation = decode_record(entry.value, Confirmation, FORMAT)
        if confirmation is not None and len(confirmation.why) <= MAX_REASON_LENGTH:
            confirmations[entry.key.removeprefix(CONFIRMATIONS_PREFIX)] = confirmation
    return confirmations


def confirmation_transaction(
    snapshot: Snapshot, softswitch: str, confirmation: Confirmation
) -> Transaction | None:
    """Build the write of a confirmation; None if the store holds it already."""
    entry, value = snapshot.find(CONFIRMATIONS_PREFIX + softswitch), msgspec.json.encode(confirmation)
    if entry is not None and entry.value == value:
        return None
    compare = Compare(CONFIRMATIONS_PREFIX + softswitch, entry.mod_revision if entry is not None else 0)
    return Transaction((compare,), (Write(CONFIRMATIONS_PREFIX + softswitch, value),))


def confirmation_status(
    number: int, live: Mapping[str, int], missing: Sequence[str], confirmations: Mapping[str, Confirmation]
) -> ConfirmationStatus:
    """Return the softswitches that have not confirmed head `number`; `live` maps names to incarnations.

    A confirmation by an earlier incarnation does not count: its process has ended, and the present one may
    have started with another head."""
    pending = [
        name
        for name, incarnation in live.items()
        if name not in confirmations
        or confirmations[name].number < number
        or confirmations[name].incarnation != incarnation
    ]
    absent = [name for name in missing if name not in confirmations or confirmations[name].number < number]
    return ConfirmationStatus(tuple(sorted(pending)), tuple(sorted(absent)))
