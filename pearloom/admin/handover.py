"""The hand-over of an upgrade: a process passes the callers' listening socket and its state to the next one.

The previous process listens at a Unix socket in $TMPDIR. The next process connects and receives the listening
socket itself, so that connections waiting in its queue survive the end of the previous process. Both then
exchange lines of JSON: the previous process sends its pool list, established calls and open set-ups, the next
one reports when it has begun to accept, and each forwards what the other has to apply.
"""

from __future__ import annotations

import logging
import socket as plain_socket
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

import gevent
from gevent import socket
from gevent.event import Event

from pearloom.admin.handover_changes import ChangeReport
from pearloom.admin.handover_channel import (
    READ_BYTES,
    Channel,
    Message,
    PeerProcess,
    encode,
    with_short_path,
)
from pearloom.binary.callers import Callers
from pearloom.core.config import Config, ListUpdate, Server
from pearloom.core.connection import accept_connections
from pearloom.core.exchange import Exchange
from pearloom.core.logs import log_event, log_exception
from pearloom.core.set_up_admission import CLAIM_TIMEOUT_MS
from pearloom.interface import PoolEntry, PoolState
from pearloom.servers.contact import Contact
from pearloom.servers.coordinator import Coordinator
from pearloom.servers.directory import Directory

REPLY_TIMEOUT_S = 1.5  # a previous process that takes longer hangs; the next one then listens beside it
SEND_INTERVAL_S = 0.03  # between two messages that report changes to the peer process


def socket_path(config: Config, folder: str) -> Path:
    """Return the path of the Unix socket at which the process with this address awaits the next one."""
    return Path(folder) / f"pearloom-{config.listen[0]}-{config.listen[1]}.sock"


@dataclass(slots=True)
class InheritedState:
    """What the next process receives from the previous one at its start."""

    channel: Channel
    listener: socket.socket
    is_drained: bool
    known_digest: str  # of the configuration's known list, which the index counts from
    pool_list: ListUpdate
    contacts: dict[str, Contact]  # by server
    answers_claims: bool  # does the previous process decide which ids belong to this one?

    def update_config(self, config: Config) -> Config:
        """Return the configuration with the inherited pool list.

        A list that is older, or counts from another list, leaves the configuration as it is."""
        if self.known_digest != config.known_digest or self.pool_list.index < config.known_index:
            return config
        return replace(config, known=(self.pool_list,), known_index=self.pool_list.index)


def request_handover(path: Path) -> InheritedState | None:
    """Ask the running process for its socket and state; None if there is none, or none that answers."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.settimeout(REPLY_TIMEOUT_S)
    try:
        with_short_path(path, sock.connect)
        data, fds, _, _ = plain_socket.recv_fds(sock, READ_BYTES, 1)
        if not fds:
            raise ConnectionError("the previous process sent no listening socket")
        listener = socket.socket(fileno=fds[0])
        channel = Channel(sock, data)
        first = channel.receive()
        if first is None:
            raise ConnectionError("the previous process sent no pool list")
        sock.settimeout(None)
        zones = first.get("zones", {})  # absent if the previous process runs an earlier version
        servers = tuple(
            Server(PoolEntry(name, cell, PoolState(state), started_us), (host, port), zones.get(name, ""))
            for name, cell, state, started_us, host, port in first["servers"]
        )
        pool_list = ListUpdate(first["index"], True, servers)
        # Absent if the previous process runs an earlier version.
        contacts = {name: Contact.from_json(fields) for name, fields in first.get("contacts", {}).items()}
        return InheritedState(
            channel, listener, first["drained"], first["known"], pool_list, contacts,
            first.get("answers_claims", False),
        )  # fmt: skip
    except (FileNotFoundError, ConnectionRefusedError):
        pass  # no process serves this address, or the last one has ended: a plain start
    except (OSError, ValueError, KeyError, TypeError) as error:
        # Guards against a file that an earlier process left, and a previous process that hangs or sends
        # something else.
        log_event(logging.WARNING, "handover_unanswered", reason=str(error) or type(error).__name__)
    sock.close()
    return None


class Handover:
    """Both roles in an upgrade; a process that has taken over hands over at the upgrade after that."""

    def __init__(
        self,
        known_digest: str,
        exchange: Exchange,
        callers: Callers,
        servers: Directory,
        coordinator: Coordinator,
    ) -> None:
        """Join the parts whose state is handed over; no other process is connected yet."""
        self._known_digest = known_digest
        self._exchange = exchange
        self._callers = callers
        self._servers = servers
        self._coordinator = coordinator
        self._path: Path | None = None
        self._listener: socket.socket | None = None
        self._accepting: gevent.Greenlet[..., None] | None = None
        self._previous: PeerProcess | None = None
        self._next: PeerProcess | None = None
        self._previous_stopped = Event()  # the previous process has stopped accepting, or has ended
        self._inherited_calls: set[str] = set()

    def listen(self, path: Path) -> None:
        """Await the next process; where the socket can't be opened, that process listens beside this one."""
        self._path = path
        self._listener = listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            path.unlink(missing_ok=True)  # guards against an earlier process's file, which would block bind
            with_short_path(path, listener.bind)
            path.chmod(0o600)
            listener.listen(4)
        except OSError as error:
            log_event(logging.WARNING, "handover_unavailable", reason=str(error))
            listener.close()
        else:
            self._accepting = gevent.spawn(self._accept, listener)

    def _stop_listening(self) -> None:
        """Stop awaiting the next process: the one that took over does so now."""
        if self._accepting is not None and self._listener is not None:
            self._accepting.kill()
            self._listener.close()
            self._accepting = None

    def inherit(self, inherited: InheritedState) -> None:
        """Apply the messages of the previous process from now on, and send it this process's changes."""
        self._previous = PeerProcess(inherited.channel)
        for server, tracker in self._servers.contact_trackers().items():
            if server in inherited.contacts:
                tracker.inherit(inherited.contacts[server])
        if inherited.is_drained:
            self._callers.drain()
        if inherited.answers_claims:
            self._exchange.admission.send_claim = self._claim
        gevent.spawn(self._read_previous, self._previous)
        gevent.spawn(self._send_changes, self._previous, self._ended_inherited_calls)

    def _claim(self, call: str) -> None:
        """Ask the previous process for an id that has come here."""
        if self._previous is not None:
            self._previous.send_soon({"say": "claim", "call": call})
            self._exchange.after_ms(CLAIM_TIMEOUT_MS, self._exchange.admission.settle_overdue)

    def take_over(self) -> None:
        """Report that this process accepts, and wait a bounded time for the previous one to stop."""
        if self._previous is not None:
            self._previous.outbox.append({"say": "took"})
            self._previous_stopped.wait(REPLY_TIMEOUT_S)

    def forward_drain(self, is_drained: bool) -> None:
        """Pass a drain or its end on to the other processes.

        Guards against a drain that only one of two processes applies."""
        for peer in (self._previous, self._next):
            if peer is not None:
                peer.outbox.append({"say": "drain" if is_drained else "activate"})

    def forward_release(self, call: str, cause: int) -> bool:
        """Have the next process release a call whose caller left this one; False without a next process."""
        if self._next is None:
            return False
        self._next.outbox.append({"say": "release", "call": call, "cause": cause})
        return True

    def flush(self) -> None:
        """Leave time for the last messages to reach the next process before this one ends."""
        if self._next is not None:
            gevent.sleep(3 * SEND_INTERVAL_S)

    # The role of the previous process.

    def _accept(self, listener: socket.socket) -> None:
        for sock in accept_connections(listener, "handover"):
            gevent.spawn(self._serve_next, sock)

    def _serve_next(self, sock: socket.socket) -> None:
        """Hand over to a next process, until its connection ends; refuses a second one meanwhile."""
        listener = self._callers.listener
        if self._next is not None or listener is None:
            sock.close()
            return
        self._next = peer = PeerProcess(Channel(sock))
        try:
            # Of messages, the next process gets those after what `contacts` holds.
            changes = ChangeReport(self._exchange, self._callers, self._servers)
            servers = [
                [
                    server.entry.server,
                    server.entry.cell,
                    server.entry.state.value,
                    server.entry.started_us,
                    *server.address,
                ]
                for server in self._servers.listed_servers()
            ]
            first = {
                "say": "list",
                "known": self._known_digest,
                "index": self._coordinator.index,
                "servers": servers,
                "zones": {server.entry.server: server.zone for server in self._servers.listed_servers()},
                "drained": self._callers.drained,
                "answers_claims": True,
                "contacts": {
                    name: tracker.contact.as_json()
                    for name, tracker in self._servers.contact_trackers().items()
                    if self._exchange.established_at(name)
                },
            }
            # The socket goes with the first byte; the line may be longer than one write takes.
            line = encode(first)
            plain_socket.send_fds(sock, [line[:1]], [listener.fileno()])
            sock.sendall(line[1:])
            log_event(logging.INFO, "handover_begun", standing_calls=self._exchange.established_calls)
            gevent.spawn(self._send_changes, peer, changes.collect)
            while (message := peer.channel.receive()) is not None:
                self._handle_from_next(peer, message)
        except (OSError, ValueError, KeyError) as error:
            log_event(logging.WARNING, "handover_broke", reason=str(error))
        except Exception:
            log_exception("handover_failed")
        self._next = None
        sock.close()
        if self._callers.yielded and not self._callers.stopping:
            # Guards against a next process that dies: this one accepts again.
            log_event(logging.WARNING, "handover_undone")
            self._callers.resume_accepting()
            if self._path is not None:
                self.listen(self._path)

    def _handle_from_next(self, peer: PeerProcess, message: Message) -> None:
        match message["say"]:
            case "took":
                self._callers.stop_accepting()
                self._stop_listening()
                peer.outbox.append({"say": "yielded"})
                log_event(logging.INFO, "handed_over", open_calls=self._exchange.open_calls)
            case "over":
                for call in message["calls"]:
                    self._exchange.end_established(call)
            case "claim":
                self._answer_claim(peer, message["call"])
            case _:
                self._handle_from_either(message)

    def _answer_claim(self, peer: PeerProcess, call: str) -> None:
        """Leave an id to the next process, unless it is, or was, at this one."""
        is_granted = not self._exchange.knows(call)
        if is_granted:
            self._exchange.admission.grant(call)
        peer.send_soon({"say": "claimed", "call": call, "granted": is_granted})

    # The role of the next process.

    def _read_previous(self, peer: PeerProcess) -> None:
        """Apply the messages of the previous process until its connection ends, then do without it."""
        try:
            while (message := peer.channel.receive()) is not None:
                self._handle_from_previous(message)
        except (OSError, ValueError, KeyError) as error:
            log_event(logging.WARNING, "handover_broke", reason=str(error))
        except Exception:
            log_exception("handover_failed")
        self._previous = None
        peer.channel.sock.close()
        self._callers.previous_process_connections = 0
        self._exchange.admission.end_claims()
        self._previous_stopped.set()
        log_event(logging.INFO, "elder_gone", inherited=len(self._inherited_calls))
        # Guards against a lost release: a session server that wrote one to a connection which ended with the
        # previous process sends it again on the next connection that is opened.
        self._servers.dial_servers_with_calls()

    def _handle_from_previous(self, message: Message) -> None:
        match message["say"]:
            case "stands":
                for call, server, number, since_ms in message["calls"]:
                    if self._exchange.inherit(call, server, number, since_ms):
                        self._inherited_calls.add(call)
            case "over":
                for call in message["calls"]:
                    self._inherited_calls.discard(call)
                    self._exchange.end_established(call)
            case "open":
                self._exchange.admission.open_elsewhere = set(message["calls"])
            case "claimed":
                self._exchange.admission.settle_claim(message["call"], message["granted"])
            case "ended":
                self._exchange.finished.add_attempted(message["calls"], self._callers.now_ms())
            case "held":
                self._callers.previous_process_connections = message["connections"]
            case "release":
                self._callers.release(message["call"], message["cause"], None)
            case "heard":
                trackers = self._servers.contact_trackers()
                for server in trackers.keys() & message["servers"].keys():
                    trackers[server].record_message(*message["servers"][server])
            case "yielded":
                self._previous_stopped.set()
            case _:
                self._handle_from_either(message)

    def _ended_inherited_calls(self) -> list[Message]:
        """Report inherited calls that ended here: the previous process has nothing more to do for them."""
        ended = [call for call in self._inherited_calls if not self._exchange.is_established(call)]
        self._inherited_calls.difference_update(ended)
        return [{"say": "over", "calls": ended}] if ended else []

    # Both roles.

    def _handle_from_either(self, message: Message) -> None:
        match message["say"]:
            case "drain":
                self._callers.drain()
            case "activate":
                self._callers.activate()

    def _send_changes(self, peer: PeerProcess, collect: Callable[[], list[Message]]) -> None:
        """Send queued messages and changes to the other process for as long as it is connected."""
        try:
            while peer in (self._previous, self._next):
                peer.send_queued(*collect())
                peer.send_until(time.monotonic() + SEND_INTERVAL_S)
        except OSError:
            pass  # the greenlet that reads from the connection handles its end
        except Exception:
            log_exception("handover_failed")
