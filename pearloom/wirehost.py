"""Hosts controllers behind the line protocol on standard input and output.

Translates lines to events and actions to lines, and keeps instances apart. It decides nothing.
"""

from __future__ import annotations

import base64
import sys
from collections.abc import Callable, Iterable, Iterator
from typing import IO

from pearloom import interface as api
from pearloom.policy import Controller
from pearloom.settings import read_report, read_settings

_STATES = {"0": api.PoolState.GONE, "1": api.PoolState.READY, "2": api.PoolState.DRAINING}
_LISTS = {
    "0": api.ListKind.FAILED,
    "1": api.ListKind.CACHED,
    "2": api.ListKind.COMPLETE,
    "4": api.ListKind.CHANGES,
}
_ENDINGS = {
    "OK": api.Ending.ENDED,
    "INTERNAL": api.Ending.ERROR,
    "RESOURCE_EXHAUSTED": api.Ending.FULL,
    "DEADLINE_EXCEEDED": api.Ending.TIMED_OUT,
    "UNAVAILABLE": api.Ending.UNREACHABLE,
    "ABORTED": api.Ending.RESET,
    "CANCELLED": api.Ending.CANCELLED,
    "TOO_LATE": api.Ending.NOT_SENT,
}
_NOTE_NO_LINE, _NOTE_FULL = 1, 3  # low four bits of a clear code
_NOTE_BITS = 16  # the rest of it: a wait in milliseconds
_FLAG_REDIAL, _FLAG_CUT = 2, 16


class WireError(ValueError):
    """A line that the protocol does not allow."""


def _opt(parts: list[str], index: int, default: int = 0) -> int:
    """An integer field that may be absent or left off the end of its line."""
    return int(parts[index]) if index < len(parts) and parts[index] != "-" else default


def _text(parts: list[str], index: int) -> str:
    return parts[index] if index < len(parts) else "-"


def _entry(parts: list[str]) -> api.PoolEntry:
    return api.PoolEntry(parts[1], _opt(parts, 4), _STATES[parts[5]], _opt(parts, 7))


def _job_in(parts: list[str]) -> api.Event:
    bits = _opt(parts, 10)
    return api.CallArrived(
        call=parts[1],
        kind=_opt(parts, 2),
        tenant=_opt(parts, 3),
        patience_us=_opt(parts, 5),
        first_choice=_opt(parts, 7, -1),
        redialled=bool(bits & _FLAG_REDIAL),
        was_cut=bool(bits & _FLAG_CUT),
        number="" if _text(parts, 4) == "-" else parts[4],
    )


def _settled(parts: list[str]) -> api.Event:
    ending, code = _ENDINGS[parts[4]], _opt(parts, 7)
    full = ending is api.Ending.FULL and code % _NOTE_BITS == _NOTE_FULL
    return api.AttemptEnded(
        call=parts[1],
        attempt=int(parts[2]),
        server=parts[3],
        ending=ending,
        took_us=_opt(parts, 5),
        call_over=_text(parts, 6) == "1",
        processor_full=full,
        no_line=ending is api.Ending.FULL and code % _NOTE_BITS == _NOTE_NO_LINE,
        full_wait_us=code // _NOTE_BITS * 1000 if full else 0,
        report=read_report(_text(parts, 8)),
    )


def _health(parts: list[str]) -> api.Event:
    return api.PoolReport(parts[1], _ENDINGS[parts[2]], _opt(parts, 3), read_report(_text(parts, 4)))


_EVENTS: dict[str, Callable[[list[str]], api.Event]] = {
    "job_in": _job_in,
    "settled": _settled,
    "health": _health,
    "accepted": lambda parts: api.CallStands(parts[1], int(parts[2]), parts[3], int(parts[4])),
    "abandoned": lambda parts: api.CallGone(parts[1]),
    "alarm": lambda parts: api.TimerDue(int(parts[1])),
    "peer_data": lambda parts: api.PeerMessage(
        int(parts[1]), b"" if _text(parts, 2) == "-" else base64.b64decode(parts[2], validate=True)
    ),
}


def write_action(action: api.Action) -> str:
    """One reply line for one action."""
    match action:
        case api.SendSetUp(call, server, timeout):
            return f"relay\t{call}\t{server}\t{timeout}"
        case api.SetTimer(after, token):
            return f"timer\t{after}\t{token}"
        case api.Refuse(call, wait):
            return f"reject\t{call}\t{wait or '-'}"
        case api.Fail(call):
            return f"end_failed\t{call}"
        case api.CancelAttempt(call, attempt):
            return f"abandon\t{call}\t{attempt}"
        case api.Probe(server):
            return f"test\t{server}"
        case api.Subscribe(on):
            return f"subscribe\t{int(on)}"
        case api.FetchList():
            return "query_all"
        case api.CloseIdle(server):
            return f"close\t{server}"
        case api.TellPeer(peer, data):
            return f"tell\t{'*' if peer is None else peer}\t{base64.b64encode(data).decode() or '-'}"
        case api.Note(text):
            return "write_log\t" + " ".join(text.split())


class Host:
    """All instances of one process, each with a controller of its own."""

    def __init__(self) -> None:
        """Start with no instance and no list."""
        self._controllers: dict[int, Controller] = {}
        self._pages: dict[str, tuple[api.PoolEntry, ...]] = {}

    def batch(self, now_us: int, lines: Iterable[str]) -> list[str]:
        """Play one batch and return its reply lines, the closing one included."""
        replies: dict[int, list[str]] = {}
        instance = -1
        source = iter(lines)
        for line in source:
            parts = line.split("\t")
            try:
                if parts[0] == "for":
                    instance = int(parts[1])
                elif parts[0] == "page":
                    self._page(parts, source)
                else:
                    reply = replies.setdefault(instance, [])
                    reply.extend(self._event(instance, now_us, parts))
            except (IndexError, KeyError, ValueError) as trouble:
                raise WireError(f"bad line {line!r}: {type(trouble).__name__}: {trouble}") from trouble
        out: list[str] = []
        for number, actions in replies.items():
            if actions:
                out.append(f"from\t{number}")
                out.extend(actions)
        return [*out, "end"]

    def _page(self, parts: list[str], source: Iterator[str]) -> None:
        entries: list[api.PoolEntry] = []
        for _ in range(int(parts[2])):
            fields = next(source, "").split("\t")
            if fields[0] != "server":
                raise ValueError(f"a list of {parts[2]} ends after {len(entries)} entries")
            entries.append(_entry(fields))
        self._pages[parts[1]] = tuple(entries)

    def _event(self, instance: int, now_us: int, parts: list[str]) -> list[str]:
        name = parts[0]
        if name == "crash_now":
            self._controllers.pop(instance, None)
            return []
        if name == "boot":
            params = dict(pair.split("=", 1) for pair in parts[2:] if "=" in pair)
            settings, seed = read_settings(params), int(parts[1])
            self._controllers[instance] = Controller(settings, seed)
            return []
        if name == "announce":
            kind = _LISTS[parts[1]]
            rows = () if kind is api.ListKind.FAILED else self._pages[parts[3]]
            event: api.Event = api.PoolList(kind, rows)
        else:
            event = _EVENTS[name](parts)
        controller = self._controllers.get(instance)
        if controller is None:
            raise ValueError(f"instance {instance} has not been started")
        return self._decide(lambda: controller.handle(now_us, event))

    @staticmethod
    def _decide(decision: Callable[[], list[api.Action]]) -> list[str]:
        try:
            return [write_action(action) for action in decision()]
        except Exception as trouble:  # any failure of a decision is to be named on the wire
            return ["fault\t" + " ".join(f"{type(trouble).__name__}: {trouble}".split())]


def serve(source: IO[str], sink: IO[str]) -> None:
    """Answer batches until the input ends."""
    host = Host()
    lines = (line.rstrip("\r\n") for line in source)
    for line in lines:
        name, _, clock = line.partition("\t")
        if name != "turn" or not clock.isdigit():
            raise WireError(f"bad line {line!r}: a batch starts with its turn")
        batch: list[str] = []
        for inner in lines:
            if inner == "over_to_you":
                break
            batch.append(inner)
        else:
            raise WireError("the input ended inside a batch")
        sink.write("\n".join(host.batch(int(clock), batch)) + "\n")
        sink.flush()


def main() -> int:
    """Serve standard input; a malformed batch ends it with one plain line."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as trouble:
        print(f"pearloom: {trouble}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
