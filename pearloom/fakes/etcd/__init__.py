"""A fake of etcd's published v3 JSON gateway, on loopback, with faults: for tests and benchmarks."""

from pearloom.fakes.etcd.gateway import Gateway, StoreFaults
from pearloom.fakes.etcd.store import Compacted, KeyValueStore

__all__ = ["Compacted", "Gateway", "KeyValueStore", "StoreFaults"]
