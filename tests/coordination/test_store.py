"""The stand-in store, as the client library calls it, and the port upon it."""

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
    here = Gateway()
    here.start()
    yield here
    here.close()


def port_on(gateway: Gateway, timeout_ms: float = 1_000.0) -> EtcdStore:
    return EtcdStore(StoreSettings((gateway.address,), timeout_ms=timeout_ms))


def put(key: str, value: bytes, mod: int = 0, lease: bool = False) -> Transaction:
    return Transaction((Compare(key, mod),), (Write(key, value, lease),))


def test_the_library_s_own_calls_pass_unchanged(gateway: Gateway) -> None:
    host, port = gateway.address

    def play() -> list[object]:
        client = Etcd3Client(host=host, port=port, timeout=2)  # finds the path of the API by /version
        lease = client.lease(30)
        told: list[object] = [client.put("a", "1"), client.create("a", "2"), client.create("b", "3", lease)]
        told += [client.get("a"), client.replace("a", "1", "4"), client.get("a")]
        told += [lease.ttl() >= 28, lease.refresh(), lease.keys(), [v for v, _ in client.get_all()]]
        told += [lease.revoke(), client.get("b"), client.delete("a"), client.delete("a"), client.get("a")]
        lock = client.lock("one", ttl=10)
        told += [lock.acquire(), client.lock("one", ttl=10).acquire(), lock.release()]
        return told

    assert ThreadPool(1).apply(play) == [
        True, False, True, [b"1"], True, [b"4"], True, 30, [b"b"], [b"4", b"3"], True, [], True, False, [],
        True, False, True,
    ]  # fmt: skip


def test_a_compare_that_does_not_hold_changes_nothing(gateway: Gateway) -> None:
    store = port_on(gateway)
    assert store.commit(put("head", b"1"), 0)
    first = store.read()
    assert not store.commit(put("head", b"2"), 0), "the key is there by now"
    assert store.read() == first
    entry = first.find("head")
    assert entry is not None and store.commit(put("head", b"2", entry.mod_revision), 0)


def test_a_lease_takes_its_keys_along_and_says_so_to_watches(gateway: Gateway) -> None:
    store, seen = port_on(gateway), list[Changes]()
    lease = store.grant(60)

    def heard(told: Changes) -> bool:
        seen.append(told)
        return True

    watching = gevent.spawn(store.watch, store.read().revision, heard)
    assert store.commit(put("members/a", b"here", lease=True), lease)
    store.revoke(lease)
    while sum(len(told.deleted) for told in seen) < 1:
        gevent.sleep(0.01)
    watching.kill()
    assert [entry.key for told in seen for entry in told.put] == ["members/a"]
    assert not store.keep_alive(lease) and store.read().entries == ()


def test_a_watch_whose_revision_is_compacted_away_ends_with_an_error(gateway: Gateway) -> None:
    store = port_on(gateway)
    for value in (b"1", b"2", b"3"):
        gateway.store.put(b"/pearloom/x", value)
    gateway.store.compact(gateway.store.revision)
    with pytest.raises(StoreError, match="compacted"):
        store.watch(1, lambda told: True)


def test_a_stalled_store_ends_calls_by_their_time_out_and_holds_up_nobody(gateway: Gateway) -> None:
    store = port_on(gateway, timeout_ms=300.0)
    gateway.faults.paused = True
    asking = gevent.spawn(lambda: pytest.raises(StoreError, store.read))
    turns = 0
    while not asking.ready():
        gevent.sleep(0.001)
        turns += 1
    asking.get()
    assert turns > 20, "the others had their turns while it waited"
    gateway.faults.paused = False
    assert store.read().entries == ()


def test_a_reply_lost_after_the_write_leaves_the_write(gateway: Gateway) -> None:
    store = port_on(gateway)
    gateway.faults.lose_replies = 1
    with pytest.raises(StoreError):
        store.commit(put("head", b"1"), 0)
    assert [entry.value for entry in store.read().entries] == [b"1"]


def test_a_store_that_comes_back_without_its_last_writes_is_older(gateway: Gateway) -> None:
    store = port_on(gateway)
    store.commit(put("head", b"1"), 0)
    gateway.store.save()
    store.commit(put("later", b"2"), 0)
    before = store.read()
    gateway.restart(without_last_writes=True)
    after = store.read()
    assert after.revision < before.revision and after.find("later") is None


@pytest.mark.parametrize("body", [b"{", b"[]", b'{"key": 5}', b'{"key": "?"}', b"null", b'{"TTL": "x"}'])
def test_what_can_t_be_read_is_a_bad_request(gateway: Gateway, body: bytes) -> None:
    host, port = gateway.address
    for path in ("/v3/kv/range", "/v3/kv/put", "/v3/lease/grant", "/v3/kv/txn", "/v3/watch"):
        url = f"http://{host}:{port}{path}"
        answer = ThreadPool(1).apply(lambda url=url: requests.post(url, data=body, timeout=2))
        assert answer.status_code in (200, 400)
    assert [held.key for held in gateway.store.range(b"", b"\0")] in ([], [b""]), "nothing else was written"


_KEYS = st.sampled_from([b"a", b"b", b"c"])


@given(st.lists(st.tuples(_KEYS, st.booleans(), st.integers(0, 3)), max_size=30), st.integers(1, 10))
def test_history_from_any_revision_brings_an_older_state_up_to_date(
    steps: list[tuple[bytes, bool, int]], cut: int
) -> None:
    store, states = KeyValueStore(), dict[int, dict[bytes, bytes]]()
    for key, deletes, value in steps:
        if deletes:
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
    if 0 < cut <= store.revision:
        store.compact(cut)
        with pytest.raises(Compacted):
            store.since(cut, b"", b"\0")
