"""The fake store's JSON gateway over HTTP on loopback, served by gevent's own WSGI server.

After etcd's `rpc.swagger.json` (v3.5): bytes as base64, 64-bit numbers as text in answers, a stream of JSON
lines for watches. A gateway belongs to the process that starts it; faults are set on `faults` at any time.
"""

from __future__ import annotations

import json
import time
from base64 import b64decode, b64encode
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from pearloom.core.config import Address
from pearloom.fakes.etcd.store import Change, Compacted, KeyValue, KeyValueStore, NotFound

_BYTES = ("key", "range_end", "value")
_NUMBERS = ("lease", "create_revision", "mod_revision", "version", "ID", "TTL", "start_revision", "revision")
_CAMEL = {"rangeEnd": "range_end", "createRevision": "create_revision", "modRevision": "mod_revision",
          "requestPut": "request_put", "requestRange": "request_range", "startRevision": "start_revision",
          "requestDeleteRange": "request_delete_range", "createRequest": "create_request"}  # fmt: skip
PROGRESS_S = 1.0  # a watch looks so often whether the store was exchanged under it, if nobody wakes it
EXPIRE_S = 0.02


@dataclass(slots=True)
class StoreFaults:
    """What goes wrong at the gateway, until it is set back."""

    paused: bool = False  # nothing is read or answered; connections come up
    delay_ms: float = 0.0  # before a call takes effect
    reply_delay_ms: float = 0.0  # after it took effect
    lose_replies: int = 0  # of the next writes: they take effect, then the connection is reset
    refuse: bool = False  # each call: 503, without effect


class _Handler(WSGIHandler):
    """Hands the connection on, so that a fault can break it."""

    def get_environ(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environ()
        environ["pearloom.socket"] = self.socket
        return environ


def _read(told: Any) -> Any:
    """The call's values as the store takes them, whichever of the two spellings proto3 allows was used."""
    if isinstance(told, list):
        return [_read(one) for one in told]
    if not isinstance(told, dict):
        return told
    values = {}
    for name, value in told.items():
        name = _CAMEL.get(name, name)
        if name in _BYTES:
            value = b64decode(value)
        elif name in _NUMBERS:
            value = int(value)
        values[name] = _read(value)
    return values


def _text(value: bytes) -> str:
    return b64encode(value).decode("ascii")


def _held(held: KeyValue) -> dict[str, Any]:
    """A key-value of an answer; proto3 leaves out what is 0 or empty."""
    told: dict[str, Any] = {"key": _text(held.key), "mod_revision": str(held.mod_revision)}
    if held.version:
        told |= {
            "create_revision": str(held.create_revision),
            "version": str(held.version),
            "value": _text(held.value),
        }
    if held.lease:
        told["lease"] = str(held.lease)
    return told


def _event(change: Change) -> dict[str, Any]:
    return {"kv": _held(change.held), **({"type": "DELETE"} if change.deleted else {})}


class Gateway:
    """One store on one port of loopback, from `start` to `close`; `clock` gives the time in ms."""

    def __init__(self, store: KeyValueStore | None = None, clock: Callable[[], float] | None = None) -> None:
        """Not listening yet."""
        self.store = store or KeyValueStore()
        self.faults = StoreFaults()
        self.calls: dict[str, int] = {}  # by path, for measurements
        self._clock = clock or (lambda: time.monotonic() * 1000.0)
        self._changed = Event()
        self._server: WSGIServer | None = None
        self._expiring: gevent.Greenlet[..., None] | None = None
        self.address: Address = ("127.0.0.1", 0)

    def start(self) -> None:
        """Listen, after a restart at the address of before."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(128)
        self.address = listener.getsockname()
        self._server = WSGIServer(
            listener, self._serve, handler_class=_Handler, spawn=Pool(), log=None, error_log=None
        )
        self._server.start()
        self._expiring = gevent.spawn(self._expire)

    def close(self) -> None:
        """Stop listening; open connections end."""
        if self._server is not None:
            self._server.stop(timeout=0.1)
            self._server = None
        if self._expiring is not None:
            self._expiring.kill()

    def restart(self, without_last_writes: bool = False) -> None:
        """End and come back, with all that was written or with what was saved last."""
        self.close()
        self.store = self.store.restarted(without_last_writes)
        self.start()

    def _expire(self) -> None:
        while True:
            before = self.store.revision
            self.store.expire(self._clock())
            if self.store.revision != before:
                self._wake()
            gevent.sleep(EXPIRE_S)

    def _wake(self) -> None:
        self._changed.set()
        self._changed.clear()

    # --- one call -------------------------------------------------------------------------------------------
    def _serve(self, environ: dict[str, Any], start: Callable[..., Any]) -> Iterable[bytes]:
        path = str(environ["PATH_INFO"])
        body = environ["wsgi.input"].read()
        while self.faults.paused:
            gevent.sleep(0.01)
        gevent.sleep(self.faults.delay_ms / 1000.0)
        self.calls[path] = self.calls.get(path, 0) + 1
        if self.faults.refuse:
            return self._say(start, "503 Service Unavailable", {"error": "etcdserver: no leader", "code": 14})
        if path == "/version":
            return self._say(start, "200 OK", {"etcdserver": "3.5.0", "etcdcluster": "3.5.0"})
        before = self.store.revision
        self.store.expire(self._clock())
        try:
            told = _read(json.loads(body or b"{}"))
            if path == "/v3/watch":
                return self._watch(start, told["create_request"])
            answer = self._answer(path, told)
        except NotFound as trouble:
            return self._say(start, "404 Not Found", {"error": str(trouble), "code": 5})
        except (ValueError, KeyError, TypeError, AttributeError) as trouble:
            return self._say(start, "400 Bad Request", {"error": str(trouble), "code": 3})
        if answer is None:
            return self._say(start, "404 Not Found", {"error": "Not Found", "code": 5})
        if self.store.revision != before:
            self._wake()
            if self.faults.lose_replies > 0:
                self.faults.lose_replies -= 1
                environ["pearloom.socket"].shutdown(socket.SHUT_RDWR)
        gevent.sleep(self.faults.reply_delay_ms / 1000.0)
        return self._say(start, "200 OK", answer)

    def _say(self, start: Callable[..., Any], status: str, told: Mapping[str, Any]) -> list[bytes]:
        data = json.dumps(told).encode()
        start(status, [("Content-Type", "application/json"), ("Content-Length", str(len(data)))])
        return [data]

    def _header(self) -> dict[str, str]:
        return {"cluster_id": str(self.store.cluster), "member_id": "1", "revision": str(self.store.revision),
                "raft_term": "2"}  # fmt: skip

    def _answer(self, path: str, told: dict[str, Any]) -> dict[str, Any] | None:
        store, now = self.store, self._clock()
        told_more: dict[str, Any]
        match path:
            case "/v3/maintenance/status":
                told_more = {"version": "3.5.0"}
            case "/v3/lease/grant":
                number = store.grant(told.get("TTL", 0), now, told.get("ID", 0))
                told_more = {"ID": str(number), "TTL": str(told["TTL"])}
            case "/v3/lease/keepalive":
                left = store.keep_alive(told["ID"], now)
                result = {
                    "header": self._header(),
                    "ID": str(told["ID"]),
                    **({"TTL": str(left)} if left else {}),
                }
                return {"result": result}
            case "/v3/lease/revoke" | "/v3/kv/lease/revoke":
                store.revoke(told["ID"])
                told_more = {}
            case "/v3/lease/timetolive" | "/v3/kv/lease/timetolive":
                left, granted, keys = store.time_to_live(told["ID"], now)
                told_more = {"ID": str(told["ID"]), "TTL": str(left), "grantedTTL": str(granted)}
                if told.get("keys"):
                    told_more["keys"] = [_text(key) for key in keys]
            case "/v3/kv/range":
                told_more = self._range(store.range(told["key"], told.get("range_end", b"")))
            case "/v3/kv/put":
                store.put(told["key"], told.get("value", b""), told.get("lease", 0))
                told_more = {}
            case "/v3/kv/deleterange":
                gone = store.delete(told["key"], told.get("range_end", b""))
                told_more = {"deleted": str(gone)} if gone else {}
            case "/v3/kv/compaction":
                store.compact(told["revision"])
                told_more = {}
            case "/v3/kv/txn":
                told_more = self._transact(told)
            case _:
                return None
        return {"header": self._header(), **told_more}

    def _range(self, found: list[KeyValue]) -> dict[str, Any]:
        return {"kvs": [_held(one) for one in found], "count": str(len(found))} if found else {}

    def _transact(self, told: dict[str, Any]) -> dict[str, Any]:
        def operations(name: str) -> list[tuple[str, Mapping[str, Any]]]:
            return [
                (kind.removeprefix("request_"), {"value": b"", **one} if kind == "request_put" else one)
                for operation in told.get(name) or ()
                for kind, one in operation.items()
            ]

        succeeded, answers = self.store.transact(
            told.get("compare") or (), operations("success"), operations("failure")
        )
        responses: list[dict[str, Any]] = []
        for kind, answer in answers:
            more = self._range(answer) if kind == "range" else {"deleted": str(answer)} if answer else {}
            responses.append({f"response_{kind}": {"header": self._header(), **more}})
        return {**({"succeeded": True} if succeeded else {}), "responses": responses}

    # --- watches --------------------------------------------------------------------------------------------
    def _watch(self, start: Callable[..., Any], told: dict[str, Any]) -> Iterable[bytes]:
        start("200 OK", [("Content-Type", "application/json")])
        return self._changes(told)

    def _changes(self, told: dict[str, Any]) -> Iterable[bytes]:
        """The watch's answers; it ends when its revision is compacted away, or the store is another one."""
        store, server = self.store, self._server
        sought = told.get("start_revision", 0) or store.revision + 1
        yield self._line({"created": True})
        while self._server is server:
            while self.faults.paused:
                gevent.sleep(0.01)
            try:
                changes = store.since(sought, told["key"], told.get("range_end", b""))
            except Compacted as trouble:
                reason = {
                    "canceled": True,
                    "compact_revision": str(store.compacted),
                    "cancel_reason": str(trouble),
                }
                yield self._line(reason)
                return
            sought = store.revision + 1
            if changes:
                yield self._line({"events": [_event(change) for change in changes]})
            else:
                self._changed.wait(PROGRESS_S)

    def _line(self, told: Mapping[str, Any]) -> bytes:
        return json.dumps({"result": {"header": self._header(), **told}}).encode() + b"\n"
