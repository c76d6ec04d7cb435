"""Connected sockets for tests."""

from __future__ import annotations

from gevent import socket

BUFFER_BYTES = 4096


def small_buffer_pair() -> tuple[socket.socket, socket.socket]:
    """Return two connected sockets with small buffers between them."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    far = socket.socket()
    far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    far.connect(listener.getsockname())
    near, _ = listener.accept()
    listener.close()
    near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    return near, far
