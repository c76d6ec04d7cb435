"""Guards of a call's way: callers, the exchange, session servers, the coordinator, start and end."""

from __future__ import annotations

from benchmarks.guards.guard import Guard

CALLER, SERVER, LIST, PROCESS, STILL = (
    "tests/races/test_caller_leaves.py",
    "tests/races/test_servers.py",
    "tests/races/test_coordinator.py",
    "tests/races/test_process.py",
    "tests/races/test_standing_still.py",
)
COLD, SETTINGS, BAD = "tests/test_cold_starts.py", "tests/test_generated_settings.py", "tests/test_program.py"

CALLS = (
    Guard("the caller is there right before the send", "core/exchange.py", "        if not call.caller.is_connected:\n            self._refuse(call)\n            return False\n", "", (CALLER,)),
    Guard("the time is not over right before the send", "core/exchange.py", "if self._clock.now_ms() >= call.sent_ms + call.timeout_ms:", "if False:", (SERVER,)),
    Guard("a set-up behind a close is not offered", "core/exchange.py", " or not caller.is_connected:", ":", (CALLER,)),
    Guard("a half-closed caller that waits is refused", "binary/connection.py", "            self._callers.exchange.handle_caller_eof(call)\n", "            pass\n", (CALLER,)),
    Guard("a write does not wait with a batch in hand", "core/connection.py", "sent = self._sock.send(data, 0, 0.0)", "sent = self._sock.send(data)", (CALLER,)),
    Guard("a write that is never taken ends", "core/connection.py", 'with gevent.Timeout(WRITE_TIMEOUT_S, TimeoutError("the peer accepts no data")):', "if True:", (SERVER,)),
    Guard("what came before a close is read", "core/connection.py", "        gevent.sleep(FINAL_READ_S)\n", "", (SERVER,)),
    Guard("a dial without a descriptor ends in a value", "sip/connecting.py", "    except OSError as error:\n        return DialFailure(DialFailureKind.NOT_TRIED", "    except KeyError as error:\n        return DialFailure(DialFailureKind.NOT_TRIED", (SERVER,)),
    Guard("a server that moved is dialled anew", "sip/trunk.py", "if address != self.server.address:", "if False:", (SERVER,)),
    Guard("a closed connection gets no set-up", "sip/trunk.py", "if link is not None and link.connection.peer_ended:", "if False:", (SERVER,)),
    Guard("an ended connection is not chosen again", "sip/links.py", " and not link.has_ended]", "]", (SERVER,)),
    Guard("idle connections go before their server closes them", "sip/links.py", "if not link.unanswered and now_ms - link.last_used_ms >= self._idle_ms:", "if False:", (SERVER,)),
    Guard("descriptors are left for others than servers", "sip/trunk.py", "not self._links or self._directory.may_open_another", "True", (SERVER,)),
    Guard("callers' connections are bounded", "binary/callers.py", "if len(self._connections) < self.max_connections - self.previous_process_connections:", "if True:", (PROCESS,)),
    Guard("a whole frame is owed", "servers/coordinator.py", '    with gevent.Timeout(FRAME_TIMEOUT_S, TimeoutError("no whole frame")):\n', "    if True:\n", (LIST,)),
    Guard("an older event changes nothing", "servers/coordinator.py", "event.index > self.index:", "True:", (LIST,)),
    Guard("after standing still, read first", "__main__.py", "if late_ms > READ_FIRST_MS:", "if False:", (STILL,)),
    Guard("SIGTERM before anything is taken", "__main__.py", "    signal.signal(signal.SIGTERM, _end_at_once)  # until there are calls to answer\n", "", (PROCESS,)),
    Guard("half a set-up is awaited at the end", "__main__.py", " and self.callers.is_idle", "", (PROCESS,)),
    Guard("nothing is taken on the way out", "__main__.py", "        self.callers.close()\n", "", (PROCESS,)),
    Guard("a cold server's budget", "policy/cold_start.py", "    return len(pool.sends) < int(budget + pool.budget_rounding)", "    return True", (COLD,)),
    Guard("parts below one are not rounded up", "policy/cold_start.py", "int(budget + pool.budget_rounding)", "budget + 1", (COLD,)),
    Guard("the pause after doubt is the settings'", "settings.py", '_integer(params, "specifics.guardUs")', "1000", (SETTINGS,)),
    Guard("attempts are the settings'", "settings.py", '_integer(params, "limits.maxAttempts", 1)', "4", (SETTINGS,)),
    Guard("pools of a class are the settings'", "settings.py", '_cells(params.get(f"specifics.skilledPools.{number}", ""))', "()", (SETTINGS,)),
    Guard("callers are told what the settings allow", "interface.py", "min(wanted_us, self.most_stay_away_us)", "wanted_us", ("tests/policy/test_gate.py",)),
    Guard("an infinite value is one plain line", "core/config.py", " OverflowError,", "", (BAD,)),
    Guard("an unknown effect is refused", "settings.py", "if effect not in _EFFECTS:", "if False:", (BAD,)),
)  # fmt: skip
