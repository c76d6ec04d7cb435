"""A start where nobody answers at the Unix socket of an upgrade: it must be a plain start, and soon.

On the fleet's days nobody comes to a Unix socket, and a restarted softswitch finds at best the file of the
process before it. Each case here is a start that has to go on alone within 1 s.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from pearloom.admin.handover import ask
from pearloom.fakes.testbed import free_port

# `ended` is the autouse fixture that ends what a test started, also when it fails.
from tests.test_program import TOLD, await_line, ended, start  # noqa: F401

PLAIN_START_S = 1.0


def leave_nothing(path: Path) -> None:
    """A first start."""


def leave_socket_file(path: Path) -> None:
    """What a killed process leaves: the file stays, nobody listens at it."""
    left = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    left.bind(str(path))
    left.close()


def leave_other_file(path: Path) -> None:
    """Something that is no socket."""
    path.write_text("left by something else\n")


@pytest.mark.parametrize("leave", [leave_nothing, leave_socket_file, leave_other_file])
def test_a_file_without_a_peer_is_a_plain_start_at_once(
    tmp_path: Path, leave: Callable[[Path], None]
) -> None:
    path = tmp_path / "pearloom-127.0.0.1-5060.sock"
    leave(path)
    begun = time.monotonic()
    assert ask(path) is None
    assert time.monotonic() - begun < PLAIN_START_S


@pytest.mark.parametrize("left", ["nothing", "socket"])
def test_the_program_starts_alone_beside_a_file_without_a_peer(tmp_path: Path, left: str) -> None:
    address = ("127.0.0.1", free_port())
    if left == "socket":
        leave_socket_file(tmp_path / f"pearloom-{address[0]}-{address[1]}.sock")
    process = start(tmp_path, {**TOLD, "listen": f"{address[0]}:{address[1]}"}, TMPDIR=str(tmp_path))
    lines = await_line(process, "started")
    assert not [one for one in lines if "handover" in one], lines
    with socket.create_connection(address, timeout=5):
        pass
