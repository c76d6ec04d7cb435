"""Implements the `Store` protocol on etcd v3, with the library `etcd3gw` over etcd's JSON gateway.

The library blocks, so each call runs in a thread of a gevent thread pool; only the calling greenlet waits.
A call ends at its time-out at the latest, and the pool is bounded: a stalled store occupies these threads and
no more.
"""

from __future__ import annotations

import json
from base64 import b64decode, b64encode
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import requests
from etcd3gw.client import Etcd3Client
from etcd3gw.exceptions import Etcd3Exception
from etcd3gw.lease import Lease
from gevent.threadpool import ThreadPool
from requests.adapters import HTTPAdapter

from pearloom.coordination.port import (
    MAX_VALUE_BYTES,
    Changes,
    Entry,
    Snapshot,
    StoreError,
    Transaction,
)
from pearloom.coordination.settings import StoreSettings

# Calls that may run at the same time: a watch, a lease renewal, a heartbeat, the publishing of a rollout's
# evidence, a maintenance or rollout step, and an operator's call.
POOL_THREADS = 6
MAX_LINE_BYTES = 4 * 1024 * 1024  # of one line of a watch's response; a longer line ends the watch
WATCH_READ_TIMEOUT_S = 5.0  # a watch that is silent for this long is reopened after the last revision read
T = TypeVar("T")


def _range_end(prefix: bytes) -> bytes:
    """The first key after all keys with the prefix, as etcd expects it for a range."""
    return prefix[:-1] + bytes((prefix[-1] + 1,))


def _base64(value: bytes) -> str:
    return b64encode(value).decode("ascii")


class EtcdStore:
    """A client of the store at one of its addresses; each failure switches to the next address."""

    def __init__(self, settings: StoreSettings) -> None:
        """Create the client without connecting to the store."""
        self._settings = settings
        self._prefix = settings.prefix.encode("utf-8")
        self._pool = ThreadPool(POOL_THREADS)
        self._address_index = 0
        self._client = self._create_client()

    def _create_client(self) -> Etcd3Client:
        host, port = self._settings.addresses[self._address_index % len(self._settings.addresses)]
        session = requests.Session()
        session.trust_env = False  # connect directly, whatever proxy the environment names
        session.mount("http://", HTTPAdapter(pool_connections=1, pool_maxsize=POOL_THREADS, max_retries=0))
        timeout = self._settings.timeout_ms / 1000.0
        return Etcd3Client(host=host, port=port, timeout=timeout, api_path="/v3/", session=session)

    def _call(self, operation: Callable[[Etcd3Client], T]) -> T:
        """Run one operation in a thread of the pool; raises StoreError for every failure."""
        client = self._client

        def guarded() -> T | StoreError:
            try:
                return operation(client)
            except (Etcd3Exception, requests.RequestException, OSError) as error:
                detail = getattr(error, "detail_text", None) or str(error) or type(error).__name__
                return StoreError(str(detail).strip().splitlines()[0][:200])
            except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
                return StoreError(f"malformed response from the store: {str(error)[:160]}")

        result = self._pool.apply(guarded)
        if isinstance(result, StoreError):
            self._address_index += 1
            self._client = self._create_client()
            raise result
        return result

    def read(self) -> Snapshot:
        """Read all keys with the prefix, at one revision."""

        def read_range(client: Etcd3Client) -> Snapshot:
            payload = {"key": _base64(self._prefix), "range_end": _base64(_range_end(self._prefix))}
            response = client.post(client.get_url("/kv/range"), json=payload)
            cluster, revision = self._cluster_and_revision(response)
            return Snapshot(cluster, revision, tuple(self._entry(kv) for kv in response.get("kvs", ())))

        return self._call(read_range)

    def commit(self, transaction: Transaction, lease: int) -> bool:
        """Run one transaction; returns False if a compare failed."""
        payload = {
            "compare": [
                {
                    "key": self._key(compare.key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(compare.mod_revision),
                }
                for compare in transaction.compares
            ]
            + [
                {
                    "key": self._key(compare.key),
                    "target": "VALUE",
                    "result": "EQUAL",
                    "value": _base64(compare.value),
                }
                for compare in transaction.compares
                if compare.value is not None
            ],
            "success": [
                {"request_delete_range": {"key": self._key(write.key)}}
                if write.value is None
                else {
                    "request_put": {
                        "key": self._key(write.key),
                        "value": _base64(write.value),
                        **({"lease": str(lease)} if write.lease else {}),
                    }
                }
                for write in transaction.writes
            ],
            "failure": [],
        }
        return self._call(lambda client: bool(client.transaction(payload).get("succeeded", False)))

    def grant(self, ttl_s: int) -> int:
        """Create a lease that expires after `ttl_s` seconds without renewal; returns its id."""
        return self._call(lambda client: int(client.lease(ttl_s).id))

    def keep_alive(self, lease: int) -> bool:
        """Renew a lease; returns False if it has ended."""
        return self._call(lambda client: Lease(lease, client).refresh() > 0)

    def revoke(self, lease: int) -> None:
        """End a lease, which deletes its keys."""
        self._call(lambda client: Lease(lease, client).revoke())

    def watch(self, after: int, on_changes: Callable[[Changes], bool]) -> None:
        """Call `on_changes` for every change after this revision until it returns False.

        Raises StoreError when the watch breaks. Each line of the response is read in a thread of the pool;
        `on_changes` runs in the calling greenlet. The library's own watcher hides exceptions of its thread,
        so the stream is read here, line by line, over the library's session."""
        client = self._client

        def open_watch(client: Etcd3Client) -> requests.Response:
            key, end = _base64(self._prefix), _base64(_range_end(self._prefix))
            create = {"key": key, "range_end": end, "start_revision": str(after + 1)}
            timeout = (self._settings.timeout_ms / 1000.0, WATCH_READ_TIMEOUT_S)
            return client.session.post(
                client.get_url("/watch"), json={"create_request": create}, stream=True, timeout=timeout
            )

        response = self._call(open_watch)
        lines = response.iter_lines(chunk_size=None)

        def receive(client: Etcd3Client) -> Changes:
            line = next(lines, b"")
            if not line:
                raise ValueError("the store closed the watch")
            if len(line) > MAX_LINE_BYTES:
                raise ValueError("a line of the watch is too long")
            return self._changes(json.loads(line)["result"], after)

        try:
            while on_changes(self._call(receive)):
                pass
        finally:
            response.close()
            if self._client is client:
                self._client = self._create_client()  # the connection of an ended watch is not reused

    def close(self) -> None:
        """Close the connection and the thread pool."""
        self._client.session.close()
        self._pool.kill()

    def _key(self, key: str) -> str:
        return _base64(self._prefix + key.encode("utf-8"))

    def _cluster_and_revision(self, response: Mapping[str, Any]) -> tuple[int, int]:
        header = response["header"]
        return int(header["cluster_id"]), int(header["revision"])

    def _relative_key(self, kv: Mapping[str, Any]) -> str:
        return b64decode(kv["key"]).decode("utf-8", "replace").removeprefix(self._settings.prefix)

    def _entry(self, kv: Mapping[str, Any]) -> Entry:
        value = b64decode(kv.get("value", ""))
        if len(value) > MAX_VALUE_BYTES:
            value = b""  # no record decodes from this, so only this key counts as unreadable
        return Entry(
            self._relative_key(kv),
            value,
            int(kv["create_revision"]),
            int(kv["mod_revision"]),
            int(kv.get("lease", 0)),
        )

    def _changes(self, result: Mapping[str, Any], after: int) -> Changes:
        if result.get("canceled"):
            raise ValueError(str(result.get("cancel_reason", "the store cancelled the watch")))
        cluster, revision = self._cluster_and_revision(result)
        if revision < after:
            raise ValueError(
                f"the store is at revision {revision}, older than {after}, which it has sent before"
            )
        latest: dict[str, tuple[int, Entry | None]] = {}
        for event in result.get("events", ()):
            deleted = event.get("type") in ("DELETE", 1)
            mod = int(event["kv"]["mod_revision"])
            latest[self._relative_key(event["kv"])] = (mod, None if deleted else self._entry(event["kv"]))
        # Guards against losing changes between the read and the first line of its watch: the header of that
        # line has the store's current revision, and the changes before that revision follow in later lines.
        newest = max((mod for mod, _ in latest.values()), default=0)
        put = tuple(entry for _, entry in latest.values() if entry is not None)
        deleted_keys = tuple((key, mod) for key, (mod, entry) in latest.items() if entry is None)
        return Changes(cluster, newest, put, deleted_keys)
