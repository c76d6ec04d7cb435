"""Checks the list of guards against the tree: each guard's code occurs once in its file, its tests exist.

Guards against a rename that misses the list. `python -m benchmarks.guards` shows that a test needs each one.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from benchmarks.guards.calls import CALLS
from benchmarks.guards.fleet import FLEET_GUARDS
from benchmarks.guards.guard import Guard
from benchmarks.guards.iax2 import IAX2

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize("guard", (*CALLS, *FLEET_GUARDS, *IAX2), ids=lambda guard: guard.name)
def test_a_guard_occurs_once_and_its_tests_exist(guard: Guard) -> None:
    assert (ROOT / "pearloom" / guard.file).read_text().count(guard.code) == 1
    assert guard.tests
    for test in guard.tests:
        path, _, name = test.partition("::")
        assert f"def {name.split('[')[0]}(" in (ROOT / path).read_text() if name else (ROOT / path).exists()
