"""An upgrade: the running process hands the callers' listening socket, and what both must know, to a new one.

The elder listens at a Unix socket in $TMPDIR. The younger connects and gets the listening socket itself: what
waits in its queue is not lost when the elder closes. From then on both write lines of JSON: the elder what
stands and what is open, the younger when it has begun to accept, and either what the other has to know.
"""

from __future__ import annotations

import json
import logging
import os
import socket as plain_socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event

from pearloom.binary.callers import Callers
from pearloom.core.config import Config, ListUpdate, Server
from pearloom.core.connection import accept_connections
from pearloom.core.exchange import Exchange
from pearloom.core.logs import log_event, log_exception
from pearloom.interface import PoolEntry, PoolState
from pearloom.servers.coordinator import Coordinator
from pearloom.servers.directory import Directory

PATIENCE_S = 1.5  # for an elder that does not answer: it hangs, and the younger listens beside it
LOOK_S = 0.03  # how often either tells the other what has changed
READ_BYTES = 64 * 1024
MOST_LINE = 4 * 1024 * 1024
CALLS_A_LINE = 500
Message = dict[str, Any]


def socket_path(config: Config, folder: str) -> Path:
    """Where the process that serves this address listens for the next one."""
    return Path(folder) / f"pearloom-{config.listen[0]}-{config.listen[1]}.sock"


def _at(path: Path, deed: Callable[[str], None]) -> None:
    """Guards against a folder whose name is too long for the address of a Unix socket."""
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        deed(f"/proc/self/fd/{folder}/{path.name}")
    finally:
        os.close(folder)


class Channel:
    """Lines of JSON, both ways."""

    def __init__(self, sock: socket.socket, rest: bytes = b"") -> None:
        """Take a connected socket and what was read of it already."""
        self.sock = sock
        self._rest = rest

    def hear(self) -> Message | None:
        """The next line, or None at the end."""
        while b"\n" not in self._rest:
            data = self.sock.recv(READ_BYTES)
            if not data or len(self._rest) > MOST_LINE:
                return None
            self._rest += data
        line, _, self._rest = self._rest.partition(b"\n")
        message: Message = json.loads(line)
        return message

    def say(self, message: Message) -> None:
        """Write one line."""
        self.sock.sendall(encode(message))


def encode(message: Message) -> bytes:
    """One line."""
    return json.dumps(message, separators=(",", ":")).encode("ascii") + b"\n"


@dataclass(slots=True)
class InheritedState:
    """What the younger has from the elder at its start."""

    channel: Channel
    listener: socket.socket
    drained: bool
    known: str  # which list of the configuration the numbers count from
    pool_list: ListUpdate

    def update_config(self, config: Config) -> Config:
        """The configuration with the elder's list, where its number means the same to this process."""
        if self.known != config.known_digest or self.pool_list.index < config.known_index:
            return config
        return replace(config, known=(self.pool_list,), known_index=self.pool_list.index)


def request_handover(path: Path) -> InheritedState | None:
    """Ask the process that serves now for its socket; None where there is none, or none that answers."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.settimeout(PATIENCE_S)
    try:
        _at(path, sock.connect)
        data, fds, _, _ = plain_socket.recv_fds(sock, READ_BYTES, 1)
        if not fds:
            raise ConnectionError("no socket came")
        listener = socket.socket(fileno=fds[0])
        channel = Channel(sock, data)
        first = channel.hear()
        if first is None:
            raise ConnectionError("no list came")
        sock.settimeout(None)
        zones = first.get("zones", {})  # an elder of an earlier version does not tell them
        servers = tuple(
            Server(PoolEntry(name, cell, PoolState(state), started_us), (host, port), zones.get(name, ""))
            for name, cell, state, started_us, host, port in first["servers"]
        )
        listed = ListUpdate(first["index"], True, servers)
        return InheritedState(channel, listener, first["drained"], first["known"], listed)
    except (FileNotFoundError, ConnectionRefusedError):
        pass  # nobody serves this address, or the one that did is gone: a plain start
    except (OSError, ValueError, KeyError, TypeError) as trouble:
        # Guards against a file that an earlier process left, and an elder that hangs or speaks otherwise.
        log_event(logging.WARNING, "handover_unanswered", reason=str(trouble) or type(trouble).__name__)
    sock.close()
    return None


class _Other:
    """The other process of an upgrade, while both run."""

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        self.to_say: deque[Message] = deque()

    def flush(self, *more: Message) -> None:
        """Say what waits, and more."""
        while self.to_say:
            self.channel.say(self.to_say.popleft())
        for message in more:
            self.channel.say(message)


class Handover:
    """Both ends of an upgrade; this process may be the younger of one and the elder of the next."""

    def __init__(
        self,
        known_digest: str,
        exchange: Exchange,
        callers: Callers,
        servers: Directory,
        coordinator: Coordinator,
    ) -> None:
        """Neither elder nor younger yet."""
        self._known_digest = known_digest
        self._exchange = exchange
        self._callers = callers
        self._servers = servers
        self._coordinator = coordinator
        self._path: Path | None = None
        self._listener: socket.socket | None = None
        self._accepting: gevent.Greenlet[..., None] | None = None
        self._elder: _Other | None = None
        self._younger: _Other | None = None
        self._accepts_here = Event()  # the elder has stopped accepting, or is gone
        self._inherited: set[str] = set()

    # --- what the program asks for --------------------------------------------------------------------------
    def listen(self, path: Path) -> None:
        """Wait for the next process; without it, that one will have to listen beside this one."""
        self._path = path
        self._listener = listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            path.unlink(missing_ok=True)  # guards against a file of an earlier process, which would stop this
            _at(path, listener.bind)
            path.chmod(0o600)
            listener.listen(4)
        except OSError as trouble:
            log_event(logging.WARNING, "handover_unavailable", reason=str(trouble))
            listener.close()
        else:
            self._accepting = gevent.spawn(self._accept, listener)

    def _unlisten(self) -> None:
        """The younger waits for the next process now."""
        if self._accepting is not None and self._listener is not None:
            self._accepting.kill()
            self._listener.close()
            self._accepting = None

    def inherit(self, legacy: InheritedState) -> None:
        """Follow the elder from now on."""
        self._elder = _Other(legacy.channel)
        if legacy.drained:
            self._callers.drain()
        gevent.spawn(self._follow_elder, self._elder)
        gevent.spawn(self._tell, self._elder, self._over)

    def take_over(self) -> None:
        """Accepting has begun here: the elder is to stop; returns once it has."""
        if self._elder is not None:
            self._elder.to_say.append({"say": "took"})
            self._accepts_here.wait(PATIENCE_S)

    def forward_drain(self, on: bool) -> None:
        """Guards against a drain that only one of two processes knows of."""
        for other in (self._elder, self._younger):
            if other is not None:
                other.to_say.append({"say": "drain" if on else "activate"})

    def forward_release(self, call: str, cause: int) -> bool:
        """Have the younger tell a caller, who has no connection here any more; False where there is none."""
        if self._younger is None:
            return False
        self._younger.to_say.append({"say": "release", "call": call, "cause": cause})
        return True

    def flush(self) -> None:
        """Let the younger hear the last, before this process ends."""
        if self._younger is not None:
            gevent.sleep(3 * LOOK_S)

    # --- as the elder ---------------------------------------------------------------------------------------
    def _accept(self, listener: socket.socket) -> None:
        for sock in accept_connections(listener, "handover"):
            gevent.spawn(self._give, sock)

    def _give(self, sock: socket.socket) -> None:
        """One younger process, until its connection ends."""
        listener = self._callers.listener
        if self._younger is not None or listener is None:
            sock.close()
            return
        self._younger = other = _Other(Channel(sock))
        try:
            servers = [
                [one.entry.server, one.entry.cell, one.entry.state.value, one.entry.started_us, *one.address]
                for one in self._servers.listed_servers()
            ]
            first = {
                "say": "list",
                "known": self._known_digest,
                "index": self._coordinator.index,
                "servers": servers,
                "zones": {one.entry.server: one.zone for one in self._servers.listed_servers()},
                "drained": self._callers.drained,
            }
            # The socket goes with the first byte; the line may be longer than one write takes.
            line = encode(first)
            plain_socket.send_fds(sock, [line[:1]], [listener.fileno()])
            sock.sendall(line[1:])
            log_event(logging.INFO, "handover_begun", standing_calls=self._exchange.established_calls)
            gevent.spawn(self._tell, other, self._changes())
            while (message := other.channel.hear()) is not None:
                self._heard_from_younger(other, message)
        except (OSError, ValueError, KeyError) as trouble:
            log_event(logging.WARNING, "handover_broke", reason=str(trouble))
        except Exception:
            log_exception("handover_failed")
        self._younger = None
        sock.close()
        if self._callers.yielded and not self._callers.stopping:
            # Guards against a younger process that dies: this one serves on.
            log_event(logging.WARNING, "handover_undone")
            self._callers.resume_accepting()
            if self._path is not None:
                self.listen(self._path)

    def _heard_from_younger(self, other: _Other, message: Message) -> None:
        match message["say"]:
            case "took":
                self._callers.stop_accepting()
                self._unlisten()
                other.to_say.append({"say": "yielded"})
                log_event(logging.INFO, "handed_over", open_calls=self._exchange.open_calls)
            case "over":
                for call in message["calls"]:
                    self._exchange.end_established(call)
            case _:
                self._heard(message)

    def _changes(self) -> Callable[[], list[Message]]:
        """What the younger has to know, each time as far as it is new."""
        standing: set[str] = set()
        opened: set[str] = set()
        held = -1

        def look() -> list[Message]:
            nonlocal standing, opened, held
            now = {call: rest for call, *rest in self._exchange.list_established()}
            begun = [[call, *now[call]] for call in now if call not in standing]
            over = [call for call in standing if call not in now]
            open_now = self._exchange.open_ids()
            said: list[Message] = [
                {"say": "stands", "calls": begun[at : at + CALLS_A_LINE]}
                for at in range(0, len(begun), CALLS_A_LINE)
            ]
            if over:
                said.append({"say": "over", "calls": over})
            if open_now != opened:
                said.append({"say": "open", "calls": sorted(open_now)})
            if held != (connections := self._callers.connections):
                said.append({"say": "held", "connections": connections})
            standing, opened, held = set(now), open_now, connections
            return said

        return look

    # --- as the younger -------------------------------------------------------------------------------------
    def _follow_elder(self, other: _Other) -> None:
        try:
            while (message := other.channel.hear()) is not None:
                self._heard_from_elder(message)
        except (OSError, ValueError, KeyError) as trouble:
            log_event(logging.WARNING, "handover_broke", reason=str(trouble))
        except Exception:
            log_exception("handover_failed")
        self._elder = None
        other.channel.sock.close()
        self._callers.previous_process_connections = 0
        self._exchange.open_elsewhere = set()
        self._accepts_here.set()
        log_event(logging.INFO, "elder_gone", inherited=len(self._inherited))
        # Guards against a release that a session server wrote to a connection which ended with the elder: it
        # sends it again on the next one that is opened.
        self._servers.dial_servers_with_calls()

    def _heard_from_elder(self, message: Message) -> None:
        match message["say"]:
            case "stands":
                for call, server, number, stood_ms in message["calls"]:
                    if self._exchange.inherit(call, server, number, stood_ms):
                        self._inherited.add(call)
            case "over":
                for call in message["calls"]:
                    self._inherited.discard(call)
                    self._exchange.end_established(call)
            case "open":
                self._exchange.open_elsewhere = set(message["calls"])
            case "held":
                self._callers.previous_process_connections = message["connections"]
            case "release":
                self._callers.release(message["call"], message["cause"], None)
            case "yielded":
                self._accepts_here.set()
            case _:
                self._heard(message)

    def _over(self) -> list[Message]:
        """Inherited calls that ended here: the elder has nothing more to do for them."""
        over = [call for call in self._inherited if not self._exchange.is_established(call)]
        self._inherited.difference_update(over)
        return [{"say": "over", "calls": over}] if over else []

    # --- both -----------------------------------------------------------------------------------------------
    def _heard(self, message: Message) -> None:
        match message["say"]:
            case "drain":
                self._callers.drain()
            case "activate":
                self._callers.activate()

    def _tell(self, other: _Other, look: Callable[[], list[Message]]) -> None:
        """Tell the other process what has changed, for as long as it is there."""
        try:
            while other in (self._elder, self._younger):
                other.flush(*look())
                gevent.sleep(LOOK_S)
        except OSError:
            pass  # whoever reads from it sees its end
        except Exception:
            log_exception("handover_failed")
