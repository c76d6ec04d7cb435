"""One UDP socket: a greenlet that reads, and writes that never wait."""

from __future__ import annotations

import errno
import logging
import socket
from collections.abc import Callable

import gevent

from pearloom.core.config import Address
from pearloom.core.logs import log_event, log_exception

RECEIVE_BYTES = 4 * 1024 * 1024  # asked of the system, which may give less: what waits for its turn
DATAGRAM = 64 * 1024
A_TURN = 32  # datagrams read before others have their turn
_LATER = (errno.EAGAIN, errno.EWOULDBLOCK, errno.ENOBUFS, errno.EMSGSIZE, errno.EPERM)


class UdpPort:
    """Owns a bound or connected socket until it is closed; exceptions stop here."""

    def __init__(
        self,
        on_datagram: Callable[[bytes, Address], None],
        on_idle: Callable[[], None],
        on_refused: Callable[[], None] = lambda: None,
    ) -> None:
        """`on_idle`: all that has come was taken. `on_refused`: the peer's machine says nobody listens."""
        self._on_datagram, self._on_idle, self._on_refused = on_datagram, on_idle, on_refused
        self._sock: socket.socket | None = None
        self._reader: gevent.Greenlet[..., None] | None = None
        self._peer: Address | None = None

    def listen(self, address: Address) -> Address:
        """Take datagrams from all; returns where."""
        self._open().bind(address)
        return self._start()

    def connect(self, address: Address) -> None:
        """Take datagrams from one peer alone: the system drops what others send here."""
        self._peer = address
        self._open().connect(address)
        self._start()

    def _open(self) -> socket.socket:
        self._sock = sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        return sock

    def _start(self) -> Address:
        assert self._sock is not None
        self._reader = gevent.spawn(self._read, self._sock)
        host, port = self._sock.getsockname()
        return host, port

    def send(self, data: bytes, address: Address | None = None) -> None:
        """Send one datagram; one that the system has no room for is lost, as any may be."""
        if self._sock is None:
            return
        try:
            if address is None:
                self._sock.send(data)
            else:
                self._sock.sendto(data, address)
        except ConnectionRefusedError:
            # The system tells of an earlier datagram; this one has not left.
            gevent.spawn(self._on_refused)
        except OSError as trouble:
            if trouble.errno not in _LATER:
                log_event(logging.WARNING, "iax2_send_failed", errno=trouble.errno)

    def _read(self, sock: socket.socket) -> None:
        hub = gevent.get_hub()
        readable = hub.loop.io(sock.fileno(), 1)
        taken = 0
        try:
            while self._sock is sock:
                try:
                    self._on_datagram(*sock.recvfrom(DATAGRAM))
                except BlockingIOError:
                    self._guarded(self._on_idle)
                    hub.wait(readable)
                    taken = 0
                except ConnectionRefusedError:
                    self._guarded(self._on_refused)
                except OSError as trouble:
                    log_event(logging.WARNING, "iax2_receive_failed", errno=trouble.errno)
                    gevent.sleep(0.01)
                except Exception:
                    log_exception("iax2_failed")
                taken += 1
                if taken >= A_TURN:
                    # Guards against a flood that keeps all others from their turn.
                    taken = 0
                    self._guarded(self._on_idle)
                    gevent.sleep(0)
        finally:
            readable.close()

    @staticmethod
    def _guarded(action: Callable[[], None]) -> None:
        try:
            action()
        except Exception:
            log_exception("iax2_failed")

    def close(self) -> None:
        """Read and send nothing more."""
        sock, self._sock = self._sock, None
        if self._reader is not None:
            self._reader.kill(block=False)
            self._reader = None
        if sock is not None:
            # Guards against a reader that still waits for it: that one hears first of its end.
            gevent.get_hub().loop.run_callback(sock.close)
