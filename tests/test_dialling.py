"""When another connection to a session server is opened: the policy's cases, then the trunk's dials."""

from __future__ import annotations

from itertools import pairwise
from pathlib import Path

import gevent
import pytest

from pearloom.sip.dialling import REDIAL_INTERVAL_MS, SHARED_LIMIT, SPREAD_AFTER_BREAK_MS, DialPolicy
from tests.player import SETTINGS, START_MS, Player


@pytest.mark.parametrize(
    ("price", "broke_ms_ago", "least_unanswered", "should_dial"),
    [
        (0.0, None, 0, False),
        (0.0, None, 1, True),
        (0.08, None, 1, False),
        (0.08, None, SHARED_LIMIT - 1, False),
        (0.08, None, SHARED_LIMIT, True),
        (0.08, 1.0, 1, True),
        (0.08, SPREAD_AFTER_BREAK_MS + 1, 1, False),
    ],
)
def test_set_ups_share_a_connection_where_a_hand_shake_has_a_price(
    price: float, broke_ms_ago: float | None, least_unanswered: int, should_dial: bool
) -> None:
    policy = DialPolicy(price)
    if broke_ms_ago is not None:
        policy.record_break(START_MS - broke_ms_ago)
    assert policy.should_dial(least_unanswered, START_MS) is should_dial


def test_a_server_that_closes_each_connection_at_once_is_not_dialled_in_a_loop() -> None:
    policy, dials = DialPolicy(0.08), []
    for close_ms in range(0, 1000, 25):
        delay_ms = policy.delay_after_close_ms(START_MS + close_ms)
        if delay_ms is not None:
            dials.append(close_ms + delay_ms)
    assert dials[0] == 0, "the first close is followed at once: it may have lost a release"
    assert all(later - dial == REDIAL_INTERVAL_MS for dial, later in pairwise(dials))
    assert len(dials) >= 9, "a release, due within a second, has several connections to be repeated on"


def test_every_close_is_followed_at_once_where_a_hand_shake_has_no_price() -> None:
    policy = DialPolicy(0.0)
    assert [policy.delay_after_close_ms(START_MS + close_ms) for close_ms in range(4)] == [0.0] * 4


@pytest.mark.parametrize(("price", "is_shared"), [(0.0, False), (0.08, True)])
def test_the_trunk_dials_as_decided(
    price: float, is_shared: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(SETTINGS, "prices", {"handshake": price})
    player = Player(tmp_path)
    recording = tmp_path / "share.txt"
    recording.write_text(
        "s1 opens\ns2 opens\nc1 opens\n"
        + "".join(
            f'c1 > (01 00000000000000b{number} 03("save-answers") 06("3000") 0f("1")'
            ' 12("dest:0;width:1;via:-1") 30("sdp-c"))\n'
            for number in range(3)
        )
    )
    try:
        player.play(recording)
        with gevent.Timeout(5.0):
            while player.softswitch.counters.get("attempts") < 3:
                gevent.sleep(0.01)
        gevent.sleep(0.2)
        trunk = player.softswitch.servers._trunks["s-00000001"]
        assert (len(trunk._links) == 1) is is_shared  # type: ignore[attr-defined]
    finally:
        player.close()
