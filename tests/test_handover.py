"""Starts without a previous process at the hand-over's Unix socket.

Guards against a start that waits for a peer which isn't there. A restarted softswitch finds at most the
socket file that an earlier process left, and has to start within 1 s.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from pearloom.admin.handover import request_handover
from pearloom.fakes.stage import free_port

# `end_processes` is the autouse fixture that ends the processes of a test, also when it fails.
from tests.test_program import BASE_CONFIG, await_line, end_processes, start  # noqa: F401

MAX_START_S = 1.0


def leave_nothing(path: Path) -> None:
    """Leave no file, as before a first start."""


def leave_socket_file(path: Path) -> None:
    """Leave the socket file of a killed process: no process listens at it."""
    stale = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    stale.bind(str(path))
    stale.close()


def leave_other_file(path: Path) -> None:
    """Leave a file that is no socket."""
    path.write_text("left by something else\n")


@pytest.mark.parametrize("leave", [leave_nothing, leave_socket_file, leave_other_file])
def test_request_handover_without_a_peer_returns_none_at_once(
    tmp_path: Path, leave: Callable[[Path], None]
) -> None:
    path = tmp_path / "pearloom-127.0.0.1-5060.sock"
    leave(path)
    began = time.monotonic()
    assert request_handover(path) is None
    assert time.monotonic() - began < MAX_START_S


@pytest.mark.parametrize("leftover", ["nothing", "socket"])
def test_the_softswitch_starts_without_a_peer(tmp_path: Path, leftover: str) -> None:
    address = ("127.0.0.1", free_port())
    if leftover == "socket":
        leave_socket_file(tmp_path / f"pearloom-{address[0]}-{address[1]}.sock")
    process = start(tmp_path, {**BASE_CONFIG, "listen": f"{address[0]}:{address[1]}"}, TMPDIR=str(tmp_path))
    lines = await_line(process, "started")
    assert not [line for line in lines if "handover" in line], lines
    with socket.create_connection(address, timeout=5):
        pass
