"""The HTTP/1.1 server for management calls: an address of its own, one call a connection.

The server knows neither the exchange nor calls: its owner gives the paths and their handlers (`Routes`).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import gevent
import httptools
from gevent import socket

from pearloom.core.config import Address
from pearloom.core.connection import accept_connections
from pearloom.core.counters import Counters
from pearloom.core.logs import log_exception
from pearloom.core.turns import let_others_run

BACKLOG = 256
REQUEST_TIMEOUT_S = 1.0  # from the connection to the request's end: silent clients stay for seconds
CLOSE_TIMEOUT_S = 0.25  # for what a client sends after its request: closing on that resets the response
MAX_REQUEST_BYTES = 8 * 1024  # body included, where no route needs more
MAX_TRAILING_BYTES = 256 * 1024  # read and discarded of what a client sends after its request
READ_BYTES = 4 * 1024
CALLS_PER_DESCRIPTOR = 1 / 24  # calls at the same time; connections for set-ups never use these descriptors
MIN_CALLS, MAX_CALLS = 8, 24


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """The response to a management call."""

    status: HTTPStatus
    text: str = ""
    allow: str = ""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A management call: the rest of the path after a route that ends with a slash, and the body."""

    rest: str = ""
    body: bytes = b""


# Handlers by path and by method; a path that ends with a slash stands for all paths below it.
Routes = dict[str, dict[str, Callable[[HttpRequest], HttpResponse]]]


def encode(response: HttpResponse, with_body: bool = True) -> bytes:
    """Return the bytes of a response, after which the connection ends."""
    body = (response.text or f"{response.status.phrase.lower()}\n").encode("utf-8")
    lines = [
        f"HTTP/1.1 {response.status.value} {response.status.phrase}",
        *([f"Allow: {response.allow}"] if response.allow else []),
        "Content-Type: text/plain; charset=utf-8",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    return "\r\n".join([*lines, "", ""]).encode("ascii") + (body if with_body else b"")


def max_concurrent_calls(descriptors: int) -> int:
    """Return how many management calls may be open at once, given the process's number of descriptors."""
    return min(max(int(CALLS_PER_DESCRIPTOR * descriptors), MIN_CALLS), MAX_CALLS)


class _Connection:
    """The connection of one management call; httptools calls the methods named `on_…`."""

    def __init__(self, sock: socket.socket, max_bytes: int) -> None:
        self.sock, self._max_bytes = sock, max_bytes
        self.method = ""
        self.is_complete = False
        self._url = b""
        self._received = b""
        self.body = b""
        self._has_headers = False
        self._is_too_long = False
        self._parser = httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        # Guards against a second request on the connection that changes the first one.
        self._url += b"" if self.is_complete else url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._is_too_long |= name.lower() == b"content-length" and int(value) > self._max_bytes

    def on_headers_complete(self) -> None:
        if not self._has_headers:
            self._has_headers, self.method = True, self._parser.get_method().decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.body += b"" if self.is_complete else body

    def on_message_complete(self) -> None:
        self.is_complete = True

    @property
    def path(self) -> str:
        """The path of the URL, without a query."""
        path: bytes = httptools.parse_url(self._url).path or b""
        return path.decode("latin-1")

    def read(self) -> HttpResponse | None:
        """Read the request; None once it is complete, else the response that refuses it."""
        try:
            while not self.is_complete and not self._is_too_long:
                data = self.sock.recv(READ_BYTES)
                if not data:
                    return HttpResponse(HTTPStatus.BAD_REQUEST)
                self._received += data
                if len(self._received) > self._max_bytes:
                    # Guards against requests that never end and fill the memory.
                    return HttpResponse(self._oversize_status())
                self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # an offer to change the protocol, which is ignored
        except httptools.HttpParserError:
            return None if self.is_complete else HttpResponse(HTTPStatus.BAD_REQUEST)
        return (
            HttpResponse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            if self._is_too_long and not self.is_complete
            else None
        )

    def finish(self, response: bytes) -> None:
        """Write the response and read until the client closes: an earlier close would reset the response."""
        self.sock.sendall(response)
        self.sock.shutdown(socket.SHUT_WR)
        left = MAX_TRAILING_BYTES
        while left > 0 and (data := self.sock.recv(READ_BYTES)):
            left -= len(data)
            # Guards against a client that sends without end and starves all other greenlets.
            gevent.sleep(0)

    def _oversize_status(self) -> HTTPStatus:
        if self._has_headers:
            return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        has_request_line = b"\n" in self._received
        return (
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            if has_request_line
            else HTTPStatus.REQUEST_URI_TOO_LONG
        )


class Management:
    """Accepts management calls and answers them."""

    def __init__(
        self, routes: Routes, counters: Counters, descriptors: int, max_bytes: int = MAX_REQUEST_BYTES
    ) -> None:
        """Take the handlers and the limits; `listen` opens the socket.

        `max_bytes`: of a request, its body included."""
        self._routes, self._max_bytes = routes, max_bytes
        self._counters = counters
        self._max_calls = max_concurrent_calls(descriptors)
        self._connections: dict[_Connection, None] = {}  # the oldest first

    def listen(self, address: Address) -> Address:
        """Accept management calls; return the address, with the port that the system chose for port 0."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
        gevent.spawn(self._accept, sock)
        host, port = sock.getsockname()
        return host, port

    def _accept(self, listener: socket.socket) -> None:
        for sock in accept_connections(listener, "management"):
            connection = _Connection(sock, self._max_bytes)
            self._make_room()
            self._connections[connection] = None
            gevent.spawn(self._serve, connection)
            # Guards against clients that connect faster than their requests are read.
            let_others_run()

    def _make_room(self) -> None:
        """Close the oldest connection, an incomplete one first, where the limit is reached.

        Guards against incomplete requests that take all descriptors."""
        if len(self._connections) >= self._max_calls:
            oldest = next(
                (one for one in self._connections if not one.is_complete), next(iter(self._connections))
            )
            self._counters.add("management_calls_closed")
            self._connections.pop(oldest)
            oldest.sock.close()

    def _serve(self, connection: _Connection) -> None:
        """Serve one connection from its first byte to its end; exceptions end here."""
        try:
            refusal = gevent.with_timeout(
                REQUEST_TIMEOUT_S, connection.read, timeout_value=HttpResponse(HTTPStatus.REQUEST_TIMEOUT)
            )
            response = refusal or self._respond(connection)
            self._counters.add("management_calls" if refusal is None else "management_calls_bad")
            data = encode(response, connection.method != "HEAD")
            gevent.with_timeout(CLOSE_TIMEOUT_S, connection.finish, data, timeout_value=None)
        except OSError:
            pass  # the client is gone, or its connection was closed to make room
        except Exception:
            log_exception("management_failed")
        finally:
            self._connections.pop(connection, None)
            connection.sock.close()

    def _respond(self, connection: _Connection) -> HttpResponse:
        try:
            path = connection.path
        except httptools.HttpParserInvalidURLError:
            return HttpResponse(HTTPStatus.BAD_REQUEST)
        parent, slash, rest = path.rpartition("/")
        if (methods := self._routes.get(path)) is not None:
            rest = ""
        elif (methods := self._routes.get(parent + slash)) is None or not rest:
            return HttpResponse(HTTPStatus.NOT_FOUND)
        if connection.method not in methods:
            return HttpResponse(HTTPStatus.METHOD_NOT_ALLOWED, allow=", ".join(methods))
        return methods[connection.method](HttpRequest(rest, connection.body))
