"""The fake store's JSON gateway over HTTP on loopback, served by gevent's own WSGI server.

It follows etcd's `rpc.swagger.json` (v3.5): bytes as base64, 64-bit numbers as text in answers, a stream of
JSON lines for watches. A gateway runs in the process that starts it; faults are set on `faults` at any time.
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
PROGRESS_S = 1.0  # a watch without changes checks so often whether its store has been replaced
EXPIRE_S = 0.02


@dataclass(slots=True)
class StoreFaults:
    """The faults of the gateway, in force until they are cleared."""

    paused: bool = False  # no call is processed; connections are still accepted
    delay_ms: float = 0.0  # before a call is processed
    reply_delay_ms: float = 0.0  # after it was processed, before the reply
    lose_replies: int = 0  # of the next writes: they take effect, then the connection is reset
    refuse: bool = False  # each call gets 503, without effect


class _Handler(WSGIHandler):
    """Passes the connection to the application, so that a fault can break it."""

    def get_environ(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environ()
        environ["pearloom.socket"] = self.socket
        return environ


def _decode_values(body: Any) -> Any:
    """Decode a call's values for the store; proto3 allows camelCase and snake_case names."""
    if isinstance(body, list):
        return [_decode_values(item) for item in body]
    if not isinstance(body, dict):
        return body
    values = {}
    for name, value in body.items():
        name = _CAMEL.get(name, name)
        if name in _BYTES:
            value = b64decode(value)
        elif name in _NUMBERS:
            value = int(value)
        values[name] = _decode_values(value)
    return values


def _text(value: bytes) -> str:
    return b64encode(value).decode("ascii")


def _encode_key_value(key_value: KeyValue) -> dict[str, Any]:
    """Encode a key-value for an answer; proto3 omits values that are 0 or empty."""
    fields: dict[str, Any] = {"key": _text(key_value.key), "mod_revision": str(key_value.mod_revision)}
    if key_value.version:
        fields |= {
            "create_revision": str(key_value.create_revision),
            "version": str(key_value.version),
            "value": _text(key_value.value),
        }
    if key_value.lease:
        fields["lease"] = str(key_value.lease)
    return fields


def _event(change: Change) -> dict[str, Any]:
    return {"kv": _encode_key_value(change.held), **({"type": "DELETE"} if change.deleted else {})}


class Gateway:
    """One store on one port of loopback, from `start` to `close`; `clock` gives the time in ms."""

    def __init__(self, store: KeyValueStore | None = None, clock: Callable[[], float] | None = None) -> None:
        """Start without listening."""
        self.store = store or KeyValueStore()
        self.faults = StoreFaults()
        self.calls: dict[str, int] = {}  # by path, for measurements
        self._clock = clock or (lambda: time.monotonic() * 1000.0)
        self._changed = Event()
        self._server: WSGIServer | None = None
        self._expiring: gevent.Greenlet[..., None] | None = None
        self.address: Address = ("127.0.0.1", 0)

    def start(self) -> None:
        """Listen; after a restart, at the same address as before."""
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
        """Stop listening, and end open connections."""
        if self._server is not None:
            self._server.stop(timeout=0.1)
            self._server = None
        if self._expiring is not None:
            self._expiring.kill()

    def restart(self, without_last_writes: bool = False) -> None:
        """Restart, with all writes or with the state that was saved last."""
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

    def _serve(self, environ: dict[str, Any], start: Callable[..., Any]) -> Iterable[bytes]:
        path = str(environ["PATH_INFO"])
        body = environ["wsgi.input"].read()
        while self.faults.paused:
            gevent.sleep(0.01)
        gevent.sleep(self.faults.delay_ms / 1000.0)
        self.calls[path] = self.calls.get(path, 0) + 1
        if self.faults.refuse:
            return self._respond(
                start, "503 Service Unavailable", {"error": "etcdserver: no leader", "code": 14}
            )
        if path == "/version":
            return self._respond(start, "200 OK", {"etcdserver": "3.5.0", "etcdcluster": "3.5.0"})
        before = self.store.revision
        self.store.expire(self._clock())
        try:
            request = _decode_values(json.loads(body or b"{}"))
            if path == "/v3/watch":
                return self._watch(start, request["create_request"])
            answer = self._answer(path, request)
        except NotFound as error:
            return self._respond(start, "404 Not Found", {"error": str(error), "code": 5})
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return self._respond(start, "400 Bad Request", {"error": str(error), "code": 3})
        if answer is None:
            return self._respond(start, "404 Not Found", {"error": "Not Found", "code": 5})
        if self.store.revision != before:
            self._wake()
            if self.faults.lose_replies > 0:
                self.faults.lose_replies -= 1
                environ["pearloom.socket"].shutdown(socket.SHUT_RDWR)
        gevent.sleep(self.faults.reply_delay_ms / 1000.0)
        return self._respond(start, "200 OK", answer)

    def _respond(self, start: Callable[..., Any], status: str, body: Mapping[str, Any]) -> list[bytes]:
        data = json.dumps(body).encode()
        start(status, [("Content-Type", "application/json"), ("Content-Length", str(len(data)))])
        return [data]

    def _header(self) -> dict[str, str]:
        return {"cluster_id": str(self.store.cluster), "member_id": "1", "revision": str(self.store.revision),
                "raft_term": "2"}  # fmt: skip

    def _answer(self, path: str, request: dict[str, Any]) -> dict[str, Any] | None:
        store, now = self.store, self._clock()
        result_fields: dict[str, Any]
        match path:
            case "/v3/maintenance/status":
                result_fields = {"version": "3.5.0"}
            case "/v3/lease/grant":
                number = store.grant(request.get("TTL", 0), now, request.get("ID", 0))
                result_fields = {"ID": str(number), "TTL": str(request["TTL"])}
            case "/v3/lease/keepalive":
                left = store.keep_alive(request["ID"], now)
                result = {
                    "header": self._header(),
                    "ID": str(request["ID"]),
                    **({"TTL": str(left)} if left else {}),
                }
                return {"result": result}
            case "/v3/lease/revoke" | "/v3/kv/lease/revoke":
                store.revoke(request["ID"])
                result_fields = {}
            case "/v3/lease/timetolive" | "/v3/kv/lease/timetolive":
                left, granted, keys = store.time_to_live(request["ID"], now)
                result_fields = {"ID": str(request["ID"]), "TTL": str(left), "grantedTTL": str(granted)}
                if request.get("keys"):
                    result_fields["keys"] = [_text(key) for key in keys]
            case "/v3/kv/range":
                result_fields = self._range(store.range(request["key"], request.get("range_end", b"")))
            case "/v3/kv/put":
                store.put(request["key"], request.get("value", b""), request.get("lease", 0))
                result_fields = {}
            case "/v3/kv/deleterange":
                deleted = store.delete(request["key"], request.get("range_end", b""))
                result_fields = {"deleted": str(deleted)} if deleted else {}
            case "/v3/kv/compaction":
                store.compact(request["revision"])
                result_fields = {}
            case "/v3/kv/txn":
                result_fields = self._transact(request)
            case _:
                return None
        return {"header": self._header(), **result_fields}

    def _range(self, found: list[KeyValue]) -> dict[str, Any]:
        return (
            {"kvs": [_encode_key_value(key_value) for key_value in found], "count": str(len(found))}
            if found
            else {}
        )

    def _transact(self, request: dict[str, Any]) -> dict[str, Any]:
        def operations(name: str) -> list[tuple[str, Mapping[str, Any]]]:
            return [
                (kind.removeprefix("request_"), {"value": b"", **fields} if kind == "request_put" else fields)
                for operation in request.get(name) or ()
                for kind, fields in operation.items()
            ]

        succeeded, answers = self.store.transact(
            request.get("compare") or (), operations("success"), operations("failure")
        )
        responses: list[dict[str, Any]] = []
        for kind, answer in answers:
            more = self._range(answer) if kind == "range" else {"deleted": str(answer)} if answer else {}
            responses.append({f"response_{kind}": {"header": self._header(), **more}})
        return {**({"succeeded": True} if succeeded else {}), "responses": responses}

    def _watch(self, start: Callable[..., Any], request: dict[str, Any]) -> Iterable[bytes]:
        start("200 OK", [("Content-Type", "application/json")])
        return self._changes(request)

    def _changes(self, request: dict[str, Any]) -> Iterable[bytes]:
        """Yield a watch's answers, until its revision is compacted or the store is replaced."""
        store, server = self.store, self._server
        next_revision = request.get("start_revision", 0) or store.revision + 1
        yield self._line({"created": True})
        while self._server is server:
            while self.faults.paused:
                gevent.sleep(0.01)
            try:
                changes = store.since(next_revision, request["key"], request.get("range_end", b""))
            except Compacted as error:
                reason = {
                    "canceled": True,
                    "compact_revision": str(store.compacted),
                    "cancel_reason": str(error),
                }
                yield self._line(reason)
                return
            next_revision = store.revision + 1
            if changes:
                yield self._line({"events": [_event(change) for change in changes]})
            else:
                self._changed.wait(PROGRESS_S)

    def _line(self, fields: Mapping[str, Any]) -> bytes:
        return json.dumps({"result": {"header": self._header(), **fields}}).encode() + b"\n"
