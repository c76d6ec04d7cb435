"""Coordination of the softswitches of one fleet through a store with the etcd v3 API.

The package is loaded only if the operator's file names a store. Call processing never waits for the store.
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
