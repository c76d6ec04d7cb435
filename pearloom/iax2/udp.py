"""One UDP socket: a greenlet that reads, and non-blocking sends."""

from __future__ import annotations

import errno
import logging
import socket
from collections.abc import Callable

import gevent

from pearloom.core.config import Address
from pearloom.core.logs import log_event, log_exception
from pearloom.core.turns import let_others_run

RECEIVE_BYTES = 4 * 1024 * 1024  # requested receive buffer; the system may grant less
DATAGRAM_BYTES = 64 * 1024
MAX_READS_PER_TURN = 32  # datagrams read before other greenlets run
_IGNORED_ERRNOS = (errno.EAGAIN, errno.EWOULDBLOCK, errno.ENOBUFS, errno.EMSGSIZE, errno.EPERM)


class UdpPort:
    """Owns a bound or connected socket until it is closed; exceptions of its callbacks are logged."""

    def __init__(
        self,
        on_datagram: Callable[[bytes, Address], None],
        on_idle: Callable[[], None],
        on_refused: Callable[[], None] = lambda: None,
    ) -> None:
        """`on_idle`: no datagram is waiting. `on_refused`: the peer's machine reports a closed port."""
        self._on_datagram, self._on_idle, self._on_refused = on_datagram, on_idle, on_refused
        self._sock: socket.socket | None = None
        self._reader: gevent.Greenlet[..., None] | None = None
        self._peer: Address | None = None

    def listen(self, address: Address) -> Address:
        """Receive datagrams from all sources, and return the bound address."""
        self._open().bind(address)
        return self._start()

    def connect(self, address: Address) -> None:
        """Receive datagrams from one peer only; the system drops those of other sources."""
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
        """Send one datagram; if the system has no buffer space it is lost, as any datagram may be."""
        if self._sock is None:
            return
        try:
            if address is None:
                self._sock.send(data)
            else:
                self._sock.sendto(data, address)
        except ConnectionRefusedError:
            # The error is that of an earlier datagram; this one was not sent.
            gevent.spawn(self._on_refused)
        except OSError as error:
            if error.errno not in _IGNORED_ERRNOS:
                log_event(logging.WARNING, "iax2_send_failed", errno=error.errno)

    def _read(self, sock: socket.socket) -> None:
        hub = gevent.get_hub()
        readable = hub.loop.io(sock.fileno(), 1)
        read_count = 0
        try:
            while self._sock is sock:
                try:
                    self._on_datagram(*sock.recvfrom(DATAGRAM_BYTES))
                except BlockingIOError:
                    self._run_guarded(self._on_idle)
                    hub.wait(readable)
                    read_count = 0
                except ConnectionRefusedError:
                    self._run_guarded(self._on_refused)
                except OSError as error:
                    log_event(logging.WARNING, "iax2_receive_failed", errno=error.errno)
                    gevent.sleep(0.01)
                except Exception:
                    log_exception("iax2_failed")
                read_count += 1
                if read_count >= MAX_READS_PER_TURN:
                    # Guards against a flood that keeps all other greenlets from running.
                    read_count = 0
                    self._run_guarded(self._on_idle)
                    let_others_run()
        finally:
            readable.close()

    @staticmethod
    def _run_guarded(action: Callable[[], None]) -> None:
        try:
            action()
        except Exception:
            log_exception("iax2_failed")

    def close(self) -> None:
        """Stop receiving and sending, and close the socket."""
        sock, self._sock = self._sock, None
        if self._reader is not None:
            self._reader.kill(block=False)
            self._reader = None
        if sock is not None:
            # Guards against a reader that still waits on the socket: it is stopped before the close.
            gevent.get_hub().loop.run_callback(sock.close)
