"""The port on an etcd v3 store, by the library `etcd3gw` over the store's JSON gateway.

The library blocks, so each call runs in a thread of gevent's own pool: the greenlet that asks waits, no other
one does. A call ends by its time-out; the pool is bounded: a stalled store holds these threads and no more.
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

THREADS = 6  # at once: a watch, a renewal, a beat, a count that is told, a step, an operator's call
MOST_LINE_BYTES = 4 * 1024 * 1024  # of a watch's answer: a longer one is torn off
WATCH_S = 5.0  # a watch that tells nothing for so long is opened anew, from where it stood
T = TypeVar("T")


def _end_of(prefix: bytes) -> bytes:
    """The first key after all that begin with the prefix (etcd's convention for a range)."""
    return prefix[:-1] + bytes((prefix[-1] + 1,))


def _text(value: bytes) -> str:
    return b64encode(value).decode("ascii")


class EtcdStore:
    """One store at one of its addresses; the next address is taken after each failure."""

    def __init__(self, settings: StoreSettings) -> None:
        """Connects to nothing yet."""
        self._settings = settings
        self._prefix = settings.prefix.encode("utf-8")
        self._pool = ThreadPool(THREADS)
        self._at = 0
        self._client = self._dial()

    def _dial(self) -> Etcd3Client:
        host, port = self._settings.addresses[self._at % len(self._settings.addresses)]
        session = requests.Session()
        session.trust_env = False  # no proxy of the surroundings comes between a softswitch and its store
        session.mount("http://", HTTPAdapter(pool_connections=1, pool_maxsize=THREADS, max_retries=0))
        timeout = self._settings.timeout_ms / 1000.0
        return Etcd3Client(host=host, port=port, timeout=timeout, api_path="/v3/", session=session)

    # --- calls ----------------------------------------------------------------------------------------------
    def _call(self, write: Callable[[Etcd3Client], T]) -> T:
        """One call in a thread; whatever goes wrong becomes a StoreError."""
        client = self._client

        def guarded() -> T | StoreError:
            try:
                return write(client)
            except (Etcd3Exception, requests.RequestException, OSError) as trouble:
                detail = getattr(trouble, "detail_text", None) or str(trouble) or type(trouble).__name__
                return StoreError(str(detail).strip().splitlines()[0][:200])
            except (ValueError, KeyError, TypeError, AttributeError, IndexError) as trouble:
                return StoreError(f"the store's answer can't be read: {str(trouble)[:160]}")

        found = self._pool.apply(guarded)
        if isinstance(found, StoreError):
            self._at += 1
            self._client = self._dial()
            raise found
        return found

    def read(self) -> Snapshot:
        """All keys below the prefix, at one revision."""

        def write(client: Etcd3Client) -> Snapshot:
            payload = {"key": _text(self._prefix), "range_end": _text(_end_of(self._prefix))}
            answer = client.post(client.get_url("/kv/range"), json=payload)
            cluster, revision = self._place(answer)
            return Snapshot(cluster, revision, tuple(self._entry(kv) for kv in answer.get("kvs", ())))

        return self._call(write)

    def commit(self, attempt: Transaction, lease: int) -> bool:
        """One transaction; False where a compare did not hold."""
        payload = {
            "compare": [
                {
                    "key": self._key(one.key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(one.mod_revision),
                }
                for one in attempt.compares
            ]
            + [
                {"key": self._key(one.key), "target": "VALUE", "result": "EQUAL", "value": _text(one.value)}
                for one in attempt.compares
                if one.value is not None
            ],
            "success": [
                {"request_delete_range": {"key": self._key(write.key)}}
                if write.value is None
                else {
                    "request_put": {
                        "key": self._key(write.key),
                        "value": _text(write.value),
                        **({"lease": str(lease)} if write.lease else {}),
                    }
                }
                for write in attempt.writes
            ],
            "failure": [],
        }
        return self._call(lambda client: bool(client.transaction(payload).get("succeeded", False)))

    def grant(self, ttl_s: int) -> int:
        """A new lease."""
        return self._call(lambda client: int(client.lease(ttl_s).id))

    def keep_alive(self, lease: int) -> bool:
        """Renew a lease; False where it is over."""
        return self._call(lambda client: Lease(lease, client).refresh() > 0)

    def revoke(self, lease: int) -> None:
        """End a lease, and its keys."""
        self._call(lambda client: Lease(lease, client).revoke())

    def watch(self, after: int, told: Callable[[Changes], bool]) -> None:
        """Tell of every change after this revision; raises StoreError when the watch breaks.

        Each piece is read in a thread and told in this greenlet. The library's own watcher swallows what
        tears its thread, so the stream is read here, by lines, over the library's session."""
        client = self._client

        def opened(client: Etcd3Client) -> requests.Response:
            key, end = _text(self._prefix), _text(_end_of(self._prefix))
            create = {"key": key, "range_end": end, "start_revision": str(after + 1)}
            timeout = (self._settings.timeout_ms / 1000.0, WATCH_S)
            return client.session.post(
                client.get_url("/watch"), json={"create_request": create}, stream=True, timeout=timeout
            )

        response = self._call(opened)
        lines = response.iter_lines(chunk_size=None)

        def heard(client: Etcd3Client) -> Changes:
            line = next(lines, b"")
            if not line:
                raise ValueError("the watch ended")
            if len(line) > MOST_LINE_BYTES:
                raise ValueError("the watch told more than it may")
            return self._changes(json.loads(line)["result"], after)

        try:
            while told(self._call(heard)):
                pass
        finally:
            response.close()
            if self._client is client:
                self._client = self._dial()  # the connection of a torn watch is not used again

    def close(self) -> None:
        """Use the store no more."""
        self._client.session.close()
        self._pool.kill()

    # --- values ---------------------------------------------------------------------------------------------
    def _key(self, key: str) -> str:
        return _text(self._prefix + key.encode("utf-8"))

    def _place(self, answer: Mapping[str, Any]) -> tuple[int, int]:
        header = answer["header"]
        return int(header["cluster_id"]), int(header["revision"])

    def _name(self, kv: Mapping[str, Any]) -> str:
        return b64decode(kv["key"]).decode("utf-8", "replace").removeprefix(self._settings.prefix)

    def _entry(self, kv: Mapping[str, Any]) -> Entry:
        value = b64decode(kv.get("value", ""))
        if len(value) > MAX_VALUE_BYTES:
            value = b""  # read as a value that can't be used, whoever reads it; the others stay of use
        return Entry(
            self._name(kv),
            value,
            int(kv["create_revision"]),
            int(kv["mod_revision"]),
            int(kv.get("lease", 0)),
        )

    def _changes(self, result: Mapping[str, Any], after: int) -> Changes:
        if result.get("canceled"):
            raise ValueError(str(result.get("cancel_reason", "the store ended the watch")))
        cluster, revision = self._place(result)
        if revision < after:
            raise ValueError(f"the store stands at {revision}, before {after} that it has told")
        last: dict[str, tuple[int, Entry | None]] = {}
        for event in result.get("events", ()):
            deleted = event.get("type") in ("DELETE", 1)
            mod = int(event["kv"]["mod_revision"])
            last[self._name(event["kv"])] = (mod, None if deleted else self._entry(event["kv"]))
        # Guards against changes that are lost between the read and the first line of its watch: that line
        # tells the store's revision of the moment, and those before it come only after it.
        told = max((mod for mod, _ in last.values()), default=0)
        put = tuple(entry for _, entry in last.values() if entry is not None)
        gone = tuple((key, mod) for key, (mod, entry) in last.items() if entry is None)
        return Changes(cluster, told, put, gone)
