"""Guards against a change of the decision module, or a host without routing rules, that changes decisions."""

from __future__ import annotations

import json

import pytest

from tests.streams import RECORDED, SEEDS, Stream

DIGESTS = json.loads(RECORDED.read_text())


@pytest.mark.parametrize("seed", SEEDS)
def test_actions_equal_the_recorded_ones(seed: int) -> None:
    assert Stream(seed).run() == DIGESTS[str(seed)]
