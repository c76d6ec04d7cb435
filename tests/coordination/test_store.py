"""The fake store as the client library calls it, and `EtcdStore` on top of it."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest
import requests
from etcd3gw.client import Etcd3Client
from gevent.threadpool import ThreadPool
from hypothesis import given
from hypothesis import strategies as st

from pearloom.coordination.etcd import EtcdStore
from pearloom.coordination.port import Changes, Compare, StoreError, Transaction, Write
from pearloom.coordination.settings import StoreSettings
from pearloom.fakes.etcd import Compacted, Gateway, KeyValueStore


@pytest.fixture()
def gateway() -> Iterator[Gateway]:
    server = Gateway()
    server.start()
    yield server
    server.close()


def store_on(gateway: Gateway, timeout_ms: float = 1_000.0) -> EtcdStore:
    return EtcdStore(StoreSettings((gateway.address,), timeout_ms=timeout_ms))


def put(key: str, value: bytes, mod_revision: int = 0, lease: bool = False) -> Transaction:
    return Transaction((Compare(key, mod_revision),), (Write(key, value, lease),))


def test_the_client_library_works_with_the_fake_store(gateway: Gateway) -> None:
    host, port = gateway.address

    def call_all() -> list[object]:
        client = Etcd3Client(host=host, port=port, timeout=2)  # finds the API path with /version
        lease = client.lease(30)
        results: list[object] = [
            client.put("a", "1"),
            client.create("a", "2"),
            client.create("b", "3", lease),
        ]
        results += [client.get("a"), client.replace("a", "1", "4"), client.get("a")]
        results += [lease.ttl() >= 28, lease.refresh(), lease.keys(), [v for v, _ in client.get_all()]]
        results += [lease.revoke(), client.get("b"), client.delete("a"), client.delete("a"), client.get("a")]
        lock = client.lock("one", ttl=10)
        results += [lock.acquire(), client.lock("one", ttl=10).acquire(), lock.release()]
        return results

    assert ThreadPool(1).apply(call_all) == [
        True, False, True, [b"1"], True, [b"4"], True, 30, [b"b"], [b"4", b"3"], True, [], True, False, [],
        True, False, True,
    ]  # fmt: skip


def test_a_failed_compare_changes_nothing(gateway: Gateway) -> None:
    store = store_on(gateway)
    assert store.commit(put("head", b"1"), 0)
    first = store.read()
    assert not store.commit(put("head", b"2"), 0), "the key exists by now"
    assert store.read() == first
    entry = first.find("head")
    assert entry is not None and store.commit(put("head", b"2", entry.mod_revision), 0)


def test_revoking_a_lease_deletes_its_keys_and_notifies_watches(gateway: Gateway) -> None:
    store, received = store_on(gateway), list[Changes]()
    lease = store.grant(60)

    def on_changes(changes: Changes) -> bool:
        received.append(changes)
        return True

    watch = gevent.spawn(store.watch, store.read().revision, on_changes)
    assert store.commit(put("members/a", b"here", lease=True), lease)
    store.revoke(lease)
    while sum(len(changes.deleted) for changes in received) < 1:
        gevent.sleep(0.01)
    watch.kill()
    assert [entry.key for changes in received for entry in changes.put] == ["members/a"]
    assert not store.keep_alive(lease) and store.read().entries == ()


def test_a_watch_from_a_compacted_revision_ends_with_an_error(gateway: Gateway) -> None:
    store = store_on(gateway)
    for value in (b"1", b"2", b"3"):
        gateway.store.put(b"/pearloom/x", value)
    gateway.store.compact(gateway.store.revision)
    with pytest.raises(StoreError, match="compacted"):
        store.watch(1, lambda changes: True)


def test_calls_to_a_stalled_store_time_out_and_block_no_other_greenlet(gateway: Gateway) -> None:
    store = store_on(gateway, timeout_ms=300.0)
    gateway.faults.paused = True
    call = gevent.spawn(lambda: pytest.raises(StoreError, store.read))
    switches = 0
    while not call.ready():
        gevent.sleep(0.001)
        switches += 1
    call.get()
    assert switches > 20, "other greenlets ran while the call waited"
    gateway.faults.paused = False
    assert store.read().entries == ()


def test_a_write_whose_reply_is_lost_is_kept(gateway: Gateway) -> None:
    store = store_on(gateway)
    gateway.faults.lose_replies = 1
    with pytest.raises(StoreError):
        store.commit(put("head", b"1"), 0)
    assert [entry.value for entry in store.read().entries] == [b"1"]


def test_a_store_restarted_without_its_last_writes_has_an_older_revision(gateway: Gateway) -> None:
    store = store_on(gateway)
    store.commit(put("head", b"1"), 0)
    gateway.store.save()
    store.commit(put("later", b"2"), 0)
    before = store.read()
    gateway.restart(without_last_writes=True)
    after = store.read()
    assert after.revision < before.revision and after.find("later") is None


@pytest.mark.parametrize("body", [b"{", b"[]", b'{"key": 5}', b'{"key": "?"}', b"null", b'{"TTL": "x"}'])
def test_a_malformed_request_is_rejected_and_writes_nothing(gateway: Gateway, body: bytes) -> None:
    host, port = gateway.address
    for path in ("/v3/kv/range", "/v3/kv/put", "/v3/lease/grant", "/v3/kv/txn", "/v3/watch"):
        url = f"http://{host}:{port}{path}"
        response = ThreadPool(1).apply(lambda url=url: requests.post(url, data=body, timeout=2))
        assert response.status_code in (200, 400)
    assert [held.key for held in gateway.store.range(b"", b"\0")] in ([], [b""]), "no other key was written"


_KEYS = st.sampled_from([b"a", b"b", b"c"])


@given(st.lists(st.tuples(_KEYS, st.booleans(), st.integers(0, 3)), max_size=30), st.integers(1, 10))
def test_replaying_the_history_from_any_revision_yields_the_present_state(
    operations: list[tuple[bytes, bool, int]], compacted: int
) -> None:
    store, states = KeyValueStore(), dict[int, dict[bytes, bytes]]()
    for key, is_deletion, value in operations:
        if is_deletion:
            store.delete(key)
        else:
            store.put(key, bytes((value,)))
        states[store.revision] = {held.key: held.value for held in store.range(b"", b"\0")}
    for revision, state in states.items():
        replayed = dict(state)
        for change in store.since(revision + 1, b"", b"\0"):
            if change.deleted:
                replayed.pop(change.held.key, None)
            else:
                replayed[change.held.key] = change.held.value
        assert replayed == states[store.revision]
    if 0 < compacted <= store.revision:
        store.compact(compacted)
        with pytest.raises(Compacted):
            store.since(compacted, b"", b"\0")
