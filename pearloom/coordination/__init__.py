"""The place where the softswitches of one fleet agree: a store of the etcd v3 kind, behind a small port.

Loaded only where the operator's file names a store. Nothing on a call's path waits for it.
"""

from pearloom.coordination.link import Link
from pearloom.coordination.port import (
    Compare,
    Entry,
    Outcome,
    Snapshot,
    Store,
    StoreError,
    Transaction,
    Write,
)
from pearloom.coordination.settings import StoreSettings, read_store

__all__ = [
    "Transaction", "Compare", "Write", "Entry", "Link", "Outcome", "Snapshot", "Store", "StoreError",
    "StoreSettings", "read_store",
]  # fmt: skip
