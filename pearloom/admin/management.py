"""Where operators call: HTTP/1.1 at an address of its own, one call a connection.

It knows no exchange and no call: whoever starts it names what can be asked (`Routes`).
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

BACKLOG = 256
CALL_S = 1.0  # from the connection to the last byte of the call: silent callers stay for seconds
GOODBYE_S = 0.25  # for what a caller still sends after its answer: closing on it would reset the answer
MAX_REQUEST_BYTES = 8 * 1024  # of a call, its body included, where nothing that is asked needs more
MOST_AFTER = 256 * 1024  # read, and thrown away, of what a caller sends after its call
READ_BYTES = 4 * 1024
MOST_CALLS_SHARE = 1 / 24  # x descriptors: calls at once; the callers of set-ups never use these
LEAST_CALLS, MOST_CALLS = 8, 24


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """What is said to a call."""

    status: HTTPStatus
    text: str = ""
    allow: str = ""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A call: the path's rest after a route that ends with a slash, and the body."""

    rest: str = ""
    body: bytes = b""


Routes = dict[
    str, dict[str, Callable[[HttpRequest], HttpResponse]]
]  # by path (all below it, if it ends with a slash), by method


def encode(answer: HttpResponse, with_body: bool = True) -> bytes:
    """The answer's bytes; the connection ends with it."""
    body = (answer.text or f"{answer.status.phrase.lower()}\n").encode("utf-8")
    lines = [
        f"HTTP/1.1 {answer.status.value} {answer.status.phrase}",
        *([f"Allow: {answer.allow}"] if answer.allow else []),
        "Content-Type: text/plain; charset=utf-8",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    return "\r\n".join([*lines, "", ""]).encode("ascii") + (body if with_body else b"")


def max_concurrent_calls(descriptors: int) -> int:
    """How many calls there may be at once, out of this many descriptors."""
    return min(max(int(MOST_CALLS_SHARE * descriptors), LEAST_CALLS), MOST_CALLS)


class _Call:
    """One call as it is read; httptools calls the methods named `on_…`."""

    def __init__(self, sock: socket.socket, most_bytes: int) -> None:
        self.sock, self._most_bytes = sock, most_bytes
        self.method = ""
        self.whole = False
        self._url = b""
        self._taken = b""
        self.body = b""
        self._headed = False
        self._too_long = False
        self._parser = httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        # Guards against a second call on the connection that changes what the first one asked.
        self._url += b"" if self.whole else url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._too_long |= name.lower() == b"content-length" and int(value) > self._most_bytes

    def on_headers_complete(self) -> None:
        if not self._headed:
            self._headed, self.method = True, self._parser.get_method().decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.body += b"" if self.whole else body

    def on_message_complete(self) -> None:
        self.whole = True

    @property
    def path(self) -> str:
        """What was asked, without what may follow a question mark."""
        path: bytes = httptools.parse_url(self._url).path or b""
        return path.decode("latin-1")

    def read(self) -> HttpResponse | None:
        """Read until the call is whole (None), or say what is wrong with it."""
        try:
            while not self.whole and not self._too_long:
                data = self.sock.recv(READ_BYTES)
                if not data:
                    return HttpResponse(HTTPStatus.BAD_REQUEST)
                self._taken += data
                if len(self._taken) > self._most_bytes:
                    # Guards against calls that never end and fill the memory.
                    return HttpResponse(self._oversized())
                self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # an offer to speak something else, which is not taken up
        except httptools.HttpParserError:
            return None if self.whole else HttpResponse(HTTPStatus.BAD_REQUEST)
        return (
            HttpResponse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE) if self._too_long and not self.whole else None
        )

    def finish(self, answer: bytes) -> None:
        """Write the answer, and read on until the caller has it: closing before would reset it."""
        self.sock.sendall(answer)
        self.sock.shutdown(socket.SHUT_WR)
        left = MOST_AFTER
        while left > 0 and (data := self.sock.recv(READ_BYTES)):
            left -= len(data)
            # Guards against a caller that sends without end, and keeps everybody else from their turn.
            gevent.sleep(0)

    def _oversized(self) -> HTTPStatus:
        if self._headed:
            return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        line_ended = b"\n" in self._taken
        return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE if line_ended else HTTPStatus.REQUEST_URI_TOO_LONG


class Management:
    """Listens for operators and answers them."""

    def __init__(
        self, routes: Routes, counters: Counters, descriptors: int, most_bytes: int = MAX_REQUEST_BYTES
    ) -> None:
        """Listen to nobody yet. `most_bytes`: of a call, its body included."""
        self._routes, self._most_bytes = routes, most_bytes
        self._counters = counters
        self._most = max_concurrent_calls(descriptors)
        self._calls: dict[_Call, None] = {}  # the oldest first

    def listen(self, address: Address) -> Address:
        """Take calls from now on, and return where."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
        gevent.spawn(self._accept, sock)
        host, port = sock.getsockname()
        return host, port

    def _accept(self, listener: socket.socket) -> None:
        for sock in accept_connections(listener, "management"):
            call = _Call(sock, self._most_bytes)
            self._make_room()
            self._calls[call] = None
            gevent.spawn(self._serve, call)
            # Guards against a crowd that connects faster than each of it is read.
            gevent.sleep(0)

    def _make_room(self) -> None:
        """Guards against half calls that take all descriptors: the oldest of them goes for a new call."""
        if len(self._calls) >= self._most:
            oldest = next((call for call in self._calls if not call.whole), next(iter(self._calls)))
            self._counters.add("management_calls_closed")
            self._calls.pop(oldest)
            oldest.sock.close()

    def _serve(self, call: _Call) -> None:
        """One call, from its first byte to the end of its connection; exceptions stop here."""
        try:
            wrong = gevent.with_timeout(
                CALL_S, call.read, timeout_value=HttpResponse(HTTPStatus.REQUEST_TIMEOUT)
            )
            answer = wrong or self._answer(call)
            self._counters.add("management_calls" if wrong is None else "management_calls_bad")
            say = encode(answer, call.method != "HEAD")
            gevent.with_timeout(GOODBYE_S, call.finish, say, timeout_value=None)
        except OSError:
            pass  # the caller is gone, or had to make room
        except Exception:
            log_exception("management_failed")
        finally:
            self._calls.pop(call, None)
            call.sock.close()

    def _answer(self, call: _Call) -> HttpResponse:
        try:
            path = call.path
        except httptools.HttpParserInvalidURLError:
            return HttpResponse(HTTPStatus.BAD_REQUEST)
        above, slash, rest = path.rpartition("/")
        if (methods := self._routes.get(path)) is not None:
            rest = ""
        elif (methods := self._routes.get(above + slash)) is None or not rest:
            return HttpResponse(HTTPStatus.NOT_FOUND)
        if call.method not in methods:
            return HttpResponse(HTTPStatus.METHOD_NOT_ALLOWED, allow=", ".join(methods))
        return methods[call.method](HttpRequest(rest, call.body))
