"""Guards on a call's path: callers, the exchange, session servers, the coordinator, start and end."""

from __future__ import annotations

from benchmarks.guards.guard import Guard

CALLER, SERVER, COORDINATOR, PROCESS, SUSPENSION, OUTAGE = (
    "tests/races/test_caller_leaves.py",
    "tests/races/test_servers.py",
    "tests/races/test_coordinator.py",
    "tests/races/test_process.py",
    "tests/races/test_standing_still.py",
    "tests/races/test_outages.py",
)
COLD_START, SETTINGS, PROGRAM = (
    "tests/test_cold_starts.py",
    "tests/test_generated_settings.py",
    "tests/test_program.py",
)

CALLS = (
    Guard("the caller is still connected right before the send", "core/exchange.py", "        if not call.caller.is_connected:\n            self._refuse(call)\n            return False\n", "", (CALLER,)),
    Guard("the time limit has not passed right before the send", "core/exchange.py", "if self._clock.now_ms() >= call.sent_ms + call.timeout_ms:", "if False:", (SERVER,)),
    Guard("a set-up read after a close is not handled", "core/set_up_admission.py", " or not caller.is_connected:", ":", (CALLER,)),
    Guard("a half-closed caller with a waiting call is refused", "binary/connection.py", "            self._callers.exchange.handle_caller_eof(call)\n", "            pass\n", (CALLER,)),
    Guard("a write does not block with a batch in hand", "core/connection.py", "sent = self._sock.send(data, 0, 0.0)", "sent = self._sock.send(data)", (CALLER,)),
    Guard("a write that the peer never accepts times out", "core/connection.py", 'with gevent.Timeout(WRITE_TIMEOUT_S, TimeoutError("the peer accepts no data")):', "if True:", (SERVER,)),
    Guard("data received before a close is read", "core/connection.py", "        gevent.sleep(FINAL_READ_S)\n", "", (SERVER,)),
    Guard("a dial without a file descriptor returns a failure", "sip/connecting.py", "    except OSError as error:\n        return DialFailure(DialFailureKind.NOT_TRIED", "    except KeyError as error:\n        return DialFailure(DialFailureKind.NOT_TRIED", (SERVER,)),
    Guard("a server whose address changed is dialled again", "sip/trunk.py", "if address != self.server.address:", "if False:", (SERVER,)),
    Guard("a closed connection gets no set-up", "sip/trunk.py", "if link is not None and link.connection.peer_ended:", "if False:", (SERVER,)),
    Guard("a mute connection is replaced for releases", "sip/trunk.py", "                    outbound.link.mute_since_ms = now\n                    self._dial_for_releases()\n", "                    outbound.link.mute_since_ms = now\n", (SERVER,)),
    Guard("an ended connection is not chosen again", "sip/links.py", " and not link.has_ended]", "]", (SERVER,)),
    Guard("a length is confirmed by what follows", "sip/codec.py", "if boundary is Boundary.CONTRADICTED:", "if False:", ("tests/test_sip_boundary.py",)),
    Guard("a late response ends no other attempt", "sip/invites.py", " or self._ended.has(call, link.number, response.sequence):", ":", ("tests/test_exchanges.py::test_recording",)),
    Guard("the release of an earlier attempt's call ends no other attempt", "sip/invites.py", "if self._ended.of_call(call) is None:", "if True:", ("tests/test_exchanges.py::test_recording",)),
    Guard("nothing is read from a peer that does not read", "core/connection.py", "            self._may_read.clear()\n", "            pass\n", ("tests/test_turns.py",)),
    Guard("all queues together are bounded", "core/queue_budget.py", "while self._cost > self._max_cost and self._owners:", "while False:", ("tests/test_turns.py",)),
    Guard("a message back to back is no late one", "binary/connection.py", "            partial_since_ms = math.inf\n", "", ("tests/test_exchanges.py::test_recording",)),
    Guard("releases of unknown calls are limited", "core/unknown_releases.py", "if not self._bucket.take(now_ms):", "if False:", ("tests/test_finished_calls.py",)),
    Guard("an id is claimed before its set-up begins", "core/set_up_admission.py", "        if self.send_claim is None:\n", "        if True:\n", ("tests/test_set_up_admission.py", "tests/test_ids_of_set_ups.py")),
    Guard("the previous process takes no id that it has granted", "core/set_up_admission.py", " or call_id in self._granted", "", ("tests/test_ids_of_set_ups.py",)),
    Guard("an upgrade hands over the ids of calls that are over", "admin/handover.py", "                self._exchange.finished.add_attempted(message[\"calls\"], self._callers.now_ms())\n", "                pass\n", ("tests/test_ids_of_set_ups.py",)),
    Guard("idle connections close before their server closes them", "sip/links.py", "if not link.unanswered and now_ms - link.last_used_ms >= self._idle_ms:", "if False:", (SERVER,)),
    Guard("descriptors are reserved for other uses than servers", "sip/trunk.py", "not self._links or self._directory.may_open_another", "True", (SERVER,)),
    Guard("an outage is noted when a connection comes up", "sip/liveness.py", "if self.failed_dials >= OUTAGE_DIALS:", "if False:", (OUTAGE,)),
    Guard("a message on an earlier connection ends the doubt", "sip/liveness.py", "        self.confirm_process(opened_ms)\n", "", (OUTAGE,)),
    Guard("a message about an earlier call ends the doubt", "sip/server_loss.py", "            self.liveness.confirm_process(established_ms)\n", "            pass\n", (OUTAGE,)),
    Guard("a later process says nothing of the earlier one", "sip/liveness.py", "if outage.ended_ms <= known_since_ms]", "if False]", (OUTAGE,)),
    Guard("calls of after an outage are kept", "sip/server_loss.py", 'self._end_older(outage_ended_ms, "unconfirmed")', 'self._end_older(self._clock.now_ms() + 1, "unconfirmed")', (OUTAGE,)),
    Guard("a mute connection is kept while calls are in doubt", "sip/trunk.py", "        elif not has_other:\n", "        elif link.connection.close(\"mute\") or not has_other:\n", (OUTAGE,)),
    Guard("an upgrade hands over the contact with servers", "admin/handover.py", "                tracker.inherit(inherited.contacts[server])\n", "                pass\n", (OUTAGE,)),
    Guard("an upgrade passes on later messages of servers", "admin/handover.py", "                    trackers[server].record_message(*message[\"servers\"][server])\n", "                    pass\n", (OUTAGE,)),
    Guard("callers' connections are bounded", "binary/callers.py", "if len(self._connections) < self.max_connections - self.previous_process_connections:", "if True:", (PROCESS,)),
    Guard("a frame has to arrive whole in time", "servers/coordinator.py", '    with gevent.Timeout(FRAME_TIMEOUT_S, TimeoutError("no whole frame")):\n', "    if True:\n", (COORDINATOR,)),
    Guard("an older list event has no effect", "servers/coordinator.py", "event.index > self.index:", "True:", (COORDINATOR,)),
    Guard("after a suspension, sockets are read first", "__main__.py", "if late_ms > READ_FIRST_MS:", "if False:", (SUSPENSION,)),
    Guard("SIGTERM before any call is accepted", "__main__.py", "    signal.signal(signal.SIGTERM, _end_at_once)  # until there are calls to answer\n", "", (PROCESS,)),
    Guard("a partly received set-up is awaited at the end", "__main__.py", " and self.callers.is_idle", "", (PROCESS,)),
    Guard("no connection is accepted while the process ends", "__main__.py", "        self.callers.close()\n", "", (PROCESS,)),
    Guard("a cold server's budget", "policy/cold_start.py", "    return len(pool.sends) < int(budget + pool.budget_rounding)", "    return True", (COLD_START,)),
    Guard("shares below one set-up are not rounded up", "policy/cold_start.py", "int(budget + pool.budget_rounding)", "budget + 1", (COLD_START,)),
    Guard("the pause after an uncertain attempt comes from the settings", "settings.py", '_integer(params, "specifics.guardUs")', "1000", (SETTINGS,)),
    Guard("the limit of attempts comes from the settings", "settings.py", '_integer(params, "limits.maxAttempts", 1)', "4", (SETTINGS,)),
    Guard("the pools of a class come from the settings", "settings.py", '_cells(params.get(f"specifics.skilledPools.{number}", ""))', "()", (SETTINGS,)),
    Guard("the time to stay away is bounded by the settings", "interface.py", "min(wanted_us, self.most_stay_away_us)", "wanted_us", ("tests/policy/test_gate.py",)),
    Guard("an infinite value is reported in one line", "core/config.py", " OverflowError,", "", (PROGRAM,)),
    Guard("an unknown effect is refused", "settings.py", "if effect not in _EFFECTS:", "if False:", (PROGRAM,)),
)  # fmt: skip
