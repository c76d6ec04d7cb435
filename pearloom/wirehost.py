"""Hosts controllers behind the simulator's line protocol on standard input and output.

It translates lines to events and actions to lines, for several independent instances. It decides nothing.
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
_REASON_NO_LINE, _REASON_FULL = 1, 3  # in the low four bits of a clear code
_REASON_RANGE = 16  # a clear code divided by this is a wait in milliseconds
_FLAG_REDIAL, _FLAG_CUT = 2, 16


class WireError(ValueError):
    """A line violates the protocol."""


def _optional_int(parts: list[str], index: int, default: int = 0) -> int:
    """Return an integer field; the default where it is `-` or missing at the end of its line."""
    return int(parts[index]) if index < len(parts) and parts[index] != "-" else default


def _optional_text(parts: list[str], index: int) -> str:
    return parts[index] if index < len(parts) else "-"


def _pool_entry(parts: list[str]) -> api.PoolEntry:
    return api.PoolEntry(parts[1], _optional_int(parts, 4), _STATES[parts[5]], _optional_int(parts, 7))


def _job_in(parts: list[str]) -> api.Event:
    bits = _optional_int(parts, 10)
    return api.CallArrived(
        call=parts[1],
        kind=_optional_int(parts, 2),
        tenant=_optional_int(parts, 3),
        patience_us=_optional_int(parts, 5),
        first_choice=_optional_int(parts, 7, -1),
        redialled=bool(bits & _FLAG_REDIAL),
        was_cut=bool(bits & _FLAG_CUT),
        number="" if _optional_text(parts, 4) == "-" else parts[4],
    )


def _settled(parts: list[str]) -> api.Event:
    ending, code = _ENDINGS[parts[4]], _optional_int(parts, 7)
    is_full = ending is api.Ending.FULL and code % _REASON_RANGE == _REASON_FULL
    return api.AttemptEnded(
        call=parts[1],
        attempt=int(parts[2]),
        server=parts[3],
        ending=ending,
        took_us=_optional_int(parts, 5),
        call_over=_optional_text(parts, 6) == "1",
        processor_full=is_full,
        no_line=ending is api.Ending.FULL and code % _REASON_RANGE == _REASON_NO_LINE,
        full_wait_us=code // _REASON_RANGE * 1000 if is_full else 0,
        report=read_report(_optional_text(parts, 8)),
    )


def _health(parts: list[str]) -> api.Event:
    return api.PoolReport(
        parts[1], _ENDINGS[parts[2]], _optional_int(parts, 3), read_report(_optional_text(parts, 4))
    )


_EVENTS: dict[str, Callable[[list[str]], api.Event]] = {
    "job_in": _job_in,
    "settled": _settled,
    "health": _health,
    "accepted": lambda parts: api.CallStands(parts[1], int(parts[2]), parts[3], int(parts[4])),
    "abandoned": lambda parts: api.CallGone(parts[1]),
    "alarm": lambda parts: api.TimerDue(int(parts[1])),
    "peer_data": lambda parts: api.PeerMessage(
        int(parts[1]), b"" if _optional_text(parts, 2) == "-" else base64.b64decode(parts[2], validate=True)
    ),
}


def format_action(action: api.Action) -> str:
    """Format an action as its reply line."""
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
    """The softswitch instances of one process, each with its own controller."""

    def __init__(self) -> None:
        """Start without instances and without pool lists."""
        self._controllers: dict[int, Controller] = {}
        self._pages: dict[str, tuple[api.PoolEntry, ...]] = {}

    def handle_batch(self, now_us: int, lines: Iterable[str]) -> list[str]:
        """Handle one batch and return its reply lines, `end` included.

        Raises WireError where a line is malformed."""
        replies: dict[int, list[str]] = {}
        instance = -1
        source = iter(lines)
        for line in source:
            parts = line.split("\t")
            try:
                if parts[0] == "for":
                    instance = int(parts[1])
                elif parts[0] == "page":
                    self._read_page(parts, source)
                else:
                    instance_lines = replies.setdefault(instance, [])
                    instance_lines.extend(self._handle_line(instance, now_us, parts))
            except (IndexError, KeyError, ValueError) as error:
                raise WireError(f"malformed line {line!r}: {type(error).__name__}: {error}") from error
        output: list[str] = []
        for number, reply_lines in replies.items():
            if reply_lines:
                output.append(f"from\t{number}")
                output.extend(reply_lines)
        return [*output, "end"]

    def _read_page(self, parts: list[str], source: Iterator[str]) -> None:
        entries: list[api.PoolEntry] = []
        for _ in range(int(parts[2])):
            fields = next(source, "").split("\t")
            if fields[0] != "server":
                raise ValueError(f"a page of {parts[2]} servers ends after {len(entries)} entries")
            entries.append(_pool_entry(fields))
        self._pages[parts[1]] = tuple(entries)

    def _handle_line(self, instance: int, now_us: int, parts: list[str]) -> list[str]:
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
            entries = () if kind is api.ListKind.FAILED else self._pages[parts[3]]
            event: api.Event = api.PoolList(kind, entries)
        else:
            event = _EVENTS[name](parts)
        controller = self._controllers.get(instance)
        if controller is None:
            raise ValueError(f"instance {instance} has not been started")
        return self._reply_lines(lambda: controller.handle(now_us, event))

    @staticmethod
    def _reply_lines(decide: Callable[[], list[api.Action]]) -> list[str]:
        try:
            return [format_action(action) for action in decide()]
        except Exception as error:  # every failure of a decision is reported to the simulator
            return ["fault\t" + " ".join(f"{type(error).__name__}: {error}".split())]


def serve(source: IO[str], sink: IO[str]) -> None:
    """Answer batches until the input ends; raises WireError at a malformed one."""
    host = Host()
    lines = (line.rstrip("\r\n") for line in source)
    for line in lines:
        name, _, clock = line.partition("\t")
        if name != "turn" or not clock.isdigit():
            raise WireError(f"malformed line {line!r}: a batch starts with a turn line")
        batch: list[str] = []
        for inner in lines:
            if inner == "over_to_you":
                break
            batch.append(inner)
        else:
            raise WireError("the input ended inside a batch")
        sink.write("\n".join(host.handle_batch(int(clock), batch)) + "\n")
        sink.flush()


def main() -> int:
    """Serve standard input; return 2 after one line on standard error where a batch is malformed."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"pearloom: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
