"""A coordinator whose stream falls silent, repeats itself, is told too late or moves."""

from __future__ import annotations

import gevent
import pytest

from pearloom.servers import coordinator
from tests.player import encode
from tests.races.scene import Scene, scene, set_up

__all__ = ["scene"]
ASKED_FROM_1 = "0000000000000001"
DRAINS_1 = "02 00000001 {a1} {p1} 01 00 00 0000 000003e8 0000000000000000"
READY_1 = "02 00000001 {a1} {p1} 00 00 00 0000 000003e8 0000000000000000"


def test_a_stream_that_never_completes_a_frame_is_asked_again(
    scene: Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a byte now and then that makes a silent stream look alive."""
    monkeypatch.setattr(coordinator, "FRAME_TIMEOUT_S", 0.2)
    scene.do(("co", "opens", ""), ("co", "<", ASKED_FROM_1), ("co", ">", "[0000000000000000 00]"))
    first = scene.peers["co"]
    frame = encode(scene.filled(f"[0000000000000002 {DRAINS_1}]"))

    def trickle() -> None:
        for byte in frame[:-1]:
            first.send(bytes([byte]))
            gevent.sleep(0.05)

    with gevent.Timeout(5, TimeoutError("never asked again")):
        sender = gevent.spawn(trickle)
        scene.step("co", "opens", "again")
        scene.step("again", "<", ASKED_FROM_1)
        sender.kill()


def test_a_coordinator_moved_in_the_middle_of_a_frame_is_asked_for_all_of_it(scene: Scene) -> None:
    scene.do(("co", "opens", ""), ("co", "<", ASKED_FROM_1))
    frame = encode(scene.filled(f"[0000000000000002 {DRAINS_1}]"))
    scene.peers["co"].sendall(frame[:20])
    scene.settle()
    scene.do(("sighup", "cp", ""), ("cp", "opens", ""), ("cp", "<", ASKED_FROM_1))
    scene.peers["cp"].sendall(frame)
    scene.do(("log", "", "list index=2"))


@pytest.mark.parametrize("late", [READY_1, "01"])
def test_a_list_that_comes_again_or_is_older_changes_nothing(scene: Scene, late: str) -> None:
    """Guards against a server that drains and gets new set-ups since an old event was told again."""
    scene.do(("co", "opens", ""), ("co", ">", f"[0000000000000003 {DRAINS_1}]"), ("log", "", "list index=3"))
    for number in (1, 2, 3):
        scene.do(("co", ">", f"[{number:016x} {late}]"))
    scene.do(("co", ">", "[0000000000000000 00]"))
    scene.settle()
    scene.do(("c1", ">", set_up()))
    scene.invited("s2")
    assert scene.softswitch.coordinator.index == 3
    assert scene.softswitch.counters.get("list_events_in") == 1


def test_an_empty_whole_list_takes_no_new_set_up_and_the_next_one_does(scene: Scene) -> None:
    scene.do(
        ("co", "opens", ""), ("co", ">", "[0000000000000002 01]"), ("log", "", "list index=2 whole=True")
    )
    scene.do(("c1", ">", set_up()))
    assert b"INVITE " not in scene.received_by("s1") + scene.received_by("s2")
    scene.do(("co", ">", f"[0000000000000003 {READY_1}]"), ("log", "", "list index=3"))
    scene.invited("s1")  # it waited for a gate, and is sent at once
