"""Runs what the pages show: console blocks against a real fleet of three, Python blocks as they stand.

Guards against pages that show calls and answers of an earlier version.
"""

from __future__ import annotations

import os
import subprocess
import time
from collections.abc import Iterator
from doctest import ELLIPSIS, OutputChecker
from pathlib import Path

import gevent
import pytest
from sybil import Example, Sybil
from sybil.document import Document
from sybil.parsers.markdown import CodeBlockParser, PythonCodeBlockParser

from pearloom.fakes.fleet import Rig

ROOT = Path(__file__).parent.parent.parent
CONSOLE = ("docs/operating.md", "docs/one-fleet-operating.md")
PYTHON = ("README.md",)
SETTLES_S = 5.0  # what is read is read again for so long, as a reader would


def parsed(page: str, parser: CodeBlockParser | PythonCodeBlockParser) -> Document:
    sybil = Sybil(parsers=[parser], path=str(ROOT), patterns=[page])
    return sybil.parse(ROOT / page)


def commands(block: str) -> Iterator[tuple[str, str]]:
    """Each command of a block, and what it is to say."""
    command, says = "", list[str]()
    for line in block.splitlines():
        if line.startswith("$ "):
            if command:
                yield command, "".join(f"{one}\n" for one in says)
            command, says = line[2:], []
        elif line.startswith("> ") and not says:
            command += "\n" + line[2:]
        else:
            says.append(line)
    if command:
        yield command, "".join(f"{one}\n" for one in says)


@pytest.fixture()
def rig() -> Iterator[Rig]:
    held = Rig(51, 3)
    held.start()
    held.wait_until(
        lambda: all(f"member={name} condition=live" in held.nodes["n1"].log() for name in held.nodes)
    )
    yield held
    held.close()


@pytest.mark.parametrize("page", CONSOLE)
def test_each_console_block_says_what_the_page_shows(page: str, rig: Rig) -> None:
    ran = 0
    environment = {**os.environ, "BALANCER_MANAGEMENT": "{}:{}".format(*rig.nodes["n1"].management)}

    def say(command: str) -> str:
        made = gevent.get_hub().threadpool.apply(
            lambda: subprocess.run(
                ["bash", "-c", command], env=environment, capture_output=True, text=True, timeout=20
            )
        )
        return str(made.stdout)

    def evaluate(example: Example) -> None:
        nonlocal ran
        for command, wanted in commands(example.parsed):
            until, told = time.monotonic() + SETTLES_S, say(command)
            reads = " -d " not in command and " -X " not in command
            while reads and not OutputChecker().check_output(wanted, told, ELLIPSIS):
                if time.monotonic() > until:
                    break
                gevent.sleep(0.05)
                told = say(command)
            assert OutputChecker().check_output(wanted, told, ELLIPSIS), f"{command}\n{wanted}\nbut:\n{told}"
            ran += 1

    for example in parsed(page, CodeBlockParser(language="console", evaluator=evaluate)).examples():
        example.evaluate()
    assert ran >= 3, "a page whose blocks are not found shows nothing"


@pytest.mark.parametrize("page", PYTHON)
def test_each_python_block_runs(page: str) -> None:
    ran = 0
    for example in parsed(page, PythonCodeBlockParser()).examples():
        example.evaluate()
        ran += 1
    assert ran
