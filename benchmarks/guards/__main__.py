"""Removes each guard in a copy of the tree and runs the tests that have to fail: `python -m benchmarks.guards [WORD]`.

A guard without which no test fails is printed as `unnoticed`, and the exit code is 1. WORD selects guards whose file's path holds it. Takes too long for CI.
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
WORKERS = 4  # copies tested at the same time


def passes(tree: Path, test: str) -> tuple[bool, str]:
    """Run a test in this tree; return whether it passed, and its output."""
    command = [sys.executable, "-m", "pytest", "-q", "-x", "-n", "0", "-p", "no:cacheprovider", test]
    environment = {"PATH": "/usr/bin:/bin", "PYTHONPATH": str(tree), "PYTHONDONTWRITEBYTECODE": "1"}
    process = subprocess.run(command, cwd=tree, capture_output=True, text=True, env=environment)
    return process.returncode == 0, process.stdout


def noticed(guard: Guard) -> str:
    """Return the first test that failed without the guard; empty if none did."""
    with tempfile.TemporaryDirectory(prefix="pearloom-guard-") as folder:
        tree = Path(folder) / "tree"
        shutil.copytree(
            ROOT, tree, ignore=shutil.ignore_patterns(".*", "journal", "logs", "*.egg-info", "__pycache__")
        )
        shutil.copy(ROOT / "README.md", tree)
        path = tree / "pearloom" / guard.file
        text = path.read_text()
        if text.count(guard.code) != 1:
            return f"found {text.count(guard.code)} times in {guard.file}: this list is out of date"
        path.write_text(text.replace(guard.code, guard.without))
        for test in guard.tests:
            passed, output = passes(tree, test)
            if not passed:
                return next((line for line in output.splitlines() if line.startswith("FAILED")), test)[:140]
    return ""


def main() -> int:
    """Remove each guard in turn and print one line for each."""
    missed, word = 0, sys.argv[1] if len(sys.argv) > 1 else ""
    chosen = [guard for guard in (*CALLS, *FLEET_GUARDS, *IAX2) if word in guard.file]
    for test in sorted({test for guard in chosen for test in guard.tests}):
        # Guards against counting a test that fails in any case.
        if not passes(ROOT, test)[0]:
            print(f"{test} fails with all guards in place")
            return 1
    with ThreadPoolExecutor(WORKERS) as pool:
        for guard, result in zip(chosen, pool.map(noticed, chosen), strict=True):
            is_missed = not result or "out of date" in result
            missed += is_missed
            print(f"{'unnoticed' if not result else 'noticed  '} {guard.name}: {result}", flush=True)
    print(f"{len(chosen) - missed} of {len(chosen)} guards make a test fail when removed")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
