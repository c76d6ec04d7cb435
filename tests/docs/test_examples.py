"""Runs the examples of the pages: console blocks against a real fleet of three, Python blocks unchanged.

Guards against pages that show commands and output of an earlier version.
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
RETRY_S = 5.0  # reading commands are repeated for this long, as a reader would


def parse_page(page: str, parser: CodeBlockParser | PythonCodeBlockParser) -> Document:
    sybil = Sybil(parsers=[parser], path=str(ROOT), patterns=[page])
    return sybil.parse(ROOT / page)


def commands(block: str) -> Iterator[tuple[str, str]]:
    """Yield each command of a block with its expected output."""
    command, output = "", list[str]()
    for line in block.splitlines():
        if line.startswith("$ "):
            if command:
                yield command, "".join(f"{text}\n" for text in output)
            command, output = line[2:], []
        elif line.startswith("> ") and not output:
            command += "\n" + line[2:]
        else:
            output.append(line)
    if command:
        yield command, "".join(f"{text}\n" for text in output)


@pytest.fixture()
def rig() -> Iterator[Rig]:
    fleet = Rig(51, 3)
    fleet.start()
    fleet.wait_until(
        lambda: all(f"member={name} condition=live" in fleet.nodes["n1"].log() for name in fleet.nodes)
    )
    yield fleet
    fleet.close()


@pytest.mark.parametrize("page", CONSOLE)
def test_each_console_block_prints_what_the_page_shows(page: str, rig: Rig) -> None:
    examples_run = 0
    environment = {**os.environ, "BALANCER_MANAGEMENT": "{}:{}".format(*rig.nodes["n1"].management)}

    def run_command(command: str) -> str:
        process = gevent.get_hub().threadpool.apply(
            lambda: subprocess.run(
                ["bash", "-c", command], env=environment, capture_output=True, text=True, timeout=20
            )
        )
        return str(process.stdout)

    def evaluate(example: Example) -> None:
        nonlocal examples_run
        for command, expected in commands(example.parsed):
            deadline, actual = time.monotonic() + RETRY_S, run_command(command)
            is_read = " -d " not in command and " -X " not in command
            while is_read and not OutputChecker().check_output(expected, actual, ELLIPSIS):
                if time.monotonic() > deadline:
                    break
                gevent.sleep(0.05)
                actual = run_command(command)
            assert OutputChecker().check_output(
                expected, actual, ELLIPSIS
            ), f"{command}\n{expected}\nbut:\n{actual}"
            examples_run += 1

    for example in parse_page(page, CodeBlockParser(language="console", evaluator=evaluate)).examples():
        example.evaluate()
    assert examples_run >= 3, "too few console blocks found in the page"


@pytest.mark.parametrize("page", PYTHON)
def test_each_python_block_runs(page: str) -> None:
    examples_run = 0
    for example in parse_page(page, PythonCodeBlockParser()).examples():
        example.evaluate()
        examples_run += 1
    assert examples_run
