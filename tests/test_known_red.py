"""The list of known failures is short, and each line names a test, a seed, what was seen and an open issue.

Guards against a list that grows, or that lets a test pass under a name that no test has any more.
"""

from __future__ import annotations

from pathlib import Path

from tests.conftest import known_red

MAX_LINES = 3
ROOT = Path(__file__).parent.parent


def test_the_list_is_short_and_whole() -> None:
    listed = known_red()
    assert len(listed) <= MAX_LINES
    for test, line in listed.items():
        path, _, name = test.partition("::")
        assert f"def {name.split('[')[0]}(" in (ROOT / path).read_text()
        assert len(line.split(" | ")) == 4
        assert line.split(" | ")[3].startswith("issue ")
