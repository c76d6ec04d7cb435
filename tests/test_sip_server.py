"""The fake session server for SIP, as far as tests of the program rely on it."""

from __future__ import annotations

import gevent
from gevent import socket

from pearloom.fakes.journal import Journal
from pearloom.fakes.script import ServerProfile
from pearloom.fakes.sip_server import SipServer
from pearloom.sip import codec as sip


def received(sock: socket.socket) -> bytes:
    sock.settimeout(1.0)
    data = b""
    try:
        while part := sock.recv(65536):
            data += part
    except TimeoutError:
        pass
    return data


def test_a_release_whose_connection_has_closed_is_sent_on_every_other_and_on_the_next_one_opened() -> None:
    """Guards against calls that stand for ever since their release went to another softswitch alone."""
    profile = ServerProfile(delay_ms=(1.0, 1.0), mean_hold_ms=200.0)
    server = SipServer(Journal(), "s-00000001", profile, 1)
    try:
        first, other = (socket.create_connection(server.address) for _ in range(2))
        gevent.sleep(0.1)
        first.sendall(sip.encode_request("INVITE", "7f3a", "9b1f03aa5c7e2d41", 1, {}))
        assert b"200" in first.recv(65536)
        first.close()
        gevent.sleep(0.1)
        assert b"BYE" in received(other)
        next_one = socket.create_connection(server.address)
        assert b"BYE" in received(next_one)
    finally:
        server.close()
