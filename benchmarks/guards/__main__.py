"""Removes each guard in a copy of the tree and runs the tests that are to notice: `python -m benchmarks.guards [WORD]`.

A guard whose removal no test notices is printed as `unnoticed`, and the exit code is 1. WORD: only those whose file's path has it. Too long for CI.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from benchmarks.guards.calls import CALLS
from benchmarks.guards.fleet import FLEET_GUARDS
from benchmarks.guards.guard import Guard
from benchmarks.guards.iax2 import IAX2

ROOT = Path(__file__).parent.parent.parent
AT_ONCE = 4  # copies under test


def passes(tree: Path, test: str) -> tuple[bool, str]:
    """Does a test pass in this tree? And what it printed."""
    command = [sys.executable, "-m", "pytest", "-q", "-x", "-n", "0", "-p", "no:cacheprovider", test]
    environment = {"PATH": "/usr/bin:/bin", "PYTHONPATH": str(tree), "PYTHONDONTWRITEBYTECODE": "1"}
    done = subprocess.run(command, cwd=tree, capture_output=True, text=True, env=environment)
    return done.returncode == 0, done.stdout


def noticed(guard: Guard) -> str:
    """Which of the guard's tests failed without it; empty where none did."""
    with tempfile.TemporaryDirectory(prefix="pearloom-guard-") as folder:
        tree = Path(folder) / "tree"
        shutil.copytree(
            ROOT, tree, ignore=shutil.ignore_patterns(".*", "journal", "logs", "*.egg-info", "__pycache__")
        )
        shutil.copy(ROOT / "README.md", tree)
        path = tree / "pearloom" / guard.file
        text = path.read_text()
        if text.count(guard.code) != 1:
            return f"stands {text.count(guard.code)} times in {guard.file}: this list is out of date"
        path.write_text(text.replace(guard.code, guard.without))
        for test in guard.tests:
            passed, told = passes(tree, test)
            if not passed:
                return next((line for line in told.splitlines() if line.startswith("FAILED")), test)[:140]
    return ""


def main() -> int:
    """Try all, print a line each."""
    missed, word = 0, sys.argv[1] if len(sys.argv) > 1 else ""
    chosen = [guard for guard in (*CALLS, *FLEET_GUARDS, *IAX2) if word in guard.file]
    for test in sorted({test for guard in chosen for test in guard.tests}):
        # Guards against taking a test that fails anyway for one that notices.
        if not passes(ROOT, test)[0]:
            print(f"{test} fails with all guards in place")
            return 1
    with ThreadPoolExecutor(AT_ONCE) as pool:
        for guard, found in zip(chosen, pool.map(noticed, chosen), strict=True):
            bad = not found or "out of date" in found
            missed += bad
            print(f"{'unnoticed' if not found else 'noticed  '} {guard.name}: {found}", flush=True)
    print(f"{len(chosen) - missed} of {len(chosen)} guards are noticed when they are gone")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
