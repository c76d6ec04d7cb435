"""Plays every recording under tests/exchanges against the softswitch on loopback."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.player import Player

RECORDINGS = sorted((Path(__file__).parent / "exchanges").glob("*.txt"))


@pytest.mark.parametrize("path", RECORDINGS, ids=lambda path: path.stem)
def test_recording(path: Path, tmp_path: Path) -> None:
    iax2 = path.stem.startswith("iax2_")
    player = Player(tmp_path, sockets=5 if path.stem.endswith("_full") else 1024, iax2=iax2)
    try:
        player.play(path)
    finally:
        player.close()


def test_recordings_are_found() -> None:
    assert len(RECORDINGS) > 10
