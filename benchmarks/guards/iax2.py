"""Guards of IAX2."""

from __future__ import annotations

from benchmarks.guards.guard import Guard

LEGS, UNITS, FAILURES = (
    "tests/iax2/test_legs.py",
    "tests/iax2/test_decisions.py",
    "tests/iax2/test_failures.py",
)
BAD_CALLERS = "tests/iax2/test_bad_callers.py"
TRANSPORT, CODEC = "tests/iax2/test_transport.py", "tests/iax2/test_frames.py"
PLAYED = "tests/test_exchanges.py"

IAX2 = (
    Guard("a repeat asks whether its server drains", "iax2/attempt_endings.py", "return ready and wanted and", "return wanted and",
          (UNITS, f"{FAILURES}::test_a_new_is_not_retransmitted_to_a_server_that_drained")),
    Guard("a NEW is asked for before each repeat", "iax2/transport.py", "not sent.may_retransmit()", "False", (TRANSPORT, LEGS)),
    Guard("silence proves nothing", "iax2/attempt_endings.py", "SetUpFailure.SILENT: Ending.RESET", "SetUpFailure.SILENT: Ending.UNREACHABLE", (UNITS,)),
    Guard("no cause proves after work", "iax2/attempt_endings.py", "if stage is Stage.ACCEPTED and", "if False and", (UNITS,)),
    Guard("an attempt given up ends when confirmed", "iax2/trunk.py", "        return None\n\n    def _close", "        return Progress.SENT\n\n    def _close",
          (f"{FAILURES}::test_no_second_attempt_while_lost_hangups_leave_the_first_running",)),
    Guard("a late copy of a NEW is no set-up", "iax2/listener.py", "elif token in self._used_tokens:", "elif False:",
          (f"{BAD_CALLERS}::test_a_plain_caller_is_served_and_a_late_copy_of_its_new_is_no_second_set_up",)),
    Guard("a repeated NEW is the same NEW", "iax2/listener.py", "leg is not None and leg.token == token", "False",
          (f"{BAD_CALLERS}::test_a_plain_caller_is_served_and_a_late_copy_of_its_new_is_no_second_set_up",)),
    Guard("a token is bound to its source", "iax2/call_tokens.py", "hmac.compare_digest(digest, _digest(secret, source, number, issued))", "True",
          (UNITS, PLAYED)),
    Guard("a token ages", "iax2/call_tokens.py", "<= LIFETIME_MS:", "<= 1e18:", (UNITS,)),
    Guard("the token's time is taken off the patience", "iax2/listener.py", "request.patience_ms -= ", "request.patience_ms -= 0 * ",
          (f"{BAD_CALLERS}::test_the_time_of_the_token_exchange_counts_against_the_patience",)),
    Guard("the secret is checked", "iax2/in_leg.py", "hmac.compare_digest(result, expected)", "True", (LEGS,)),
    Guard("legs are limited in all", "iax2/admission.py", "self.legs >= self._limits.legs", "False",
          (UNITS, f"{BAD_CALLERS}::test_legs_beyond_the_limit_are_refused_with_a_retry_time")),
    Guard("half-open legs go in time", "iax2/listener.py", "self._admission.overdue(now)", "[]",
          (f"{BAD_CALLERS}::test_half_open_legs_are_dropped_in_time_and_make_room",)),
    Guard("proven sources are not among the forged", "iax2/admission.py", "if proven_ms is not None and", "if False and", (UNITS,)),
    Guard("token replies are limited", "iax2/admission.py", "if self._tokens < 1:", "if False:", (UNITS,)),
    Guard("both numbers of a frame have to fit", "iax2/trunk.py", "leg.transport.destination not in (0, frame.source)", "False",
          (f"{BAD_CALLERS}::test_an_answer_under_another_leg_s_number_is_ignored",)),
    Guard("a hung up leg answers no call", "iax2/out_leg.py", "None if self.is_closing else TRANSITIONS", "TRANSITIONS", (LEGS,)),
    Guard("an end is heard over a gap", "iax2/leg.py", "verdict is Verdict.OUT_OF_ORDER and iax in", "False and iax in", (LEGS,)),
    Guard("a gap before a HANGUP is doubt", "iax2/out_leg.py", "        if has_gap:", "        if False:", (LEGS,)),
    Guard("the order has no hole at the end", "iax2/transport.py", "if sent.may_retransmit is not None:\n                sent", "if False:\n                sent", (TRANSPORT, LEGS)),
    Guard("one challenge a leg", "iax2/out_leg.py", "if self._was_challenged or not", "if not", (LEGS,)),
    Guard("copies are not taken again", "iax2/transport.py", "if ahead >= 128:", "if False:", (TRANSPORT, LEGS)),
    Guard("old acknowledgements confirm nothing", "iax2/transport.py", "if acknowledged > len(self._pending):", "if False:", (TRANSPORT,)),
    Guard("unacknowledged frames are bounded", "iax2/transport.py", "len(self._pending) >= MAX_UNACKNOWLEDGED", "False", (TRANSPORT,)),
    Guard("parts of a description in order", "iax2/frames.py", "not block or block[0] != index", "not block", (CODEC,)),
    Guard("a description's length fits", "iax2/frames.py", "len(whole) - 2 != whole[0] << 8 | whole[1]", "False", (CODEC,)),
    Guard("a subclass is bounded", "iax2/frames.py", "> 63:", "> 255:", (CODEC,)),
    Guard("call numbers rest", "iax2/call_numbers.py", ">= REUSE_DELAY_MS", ">= 0", (UNITS, f"{BAD_CALLERS}::test_call_numbers_that_run_out_are_not_used_again_and_their_calls_go_elsewhere")),
    Guard("a silent server's calls end", "iax2/liveness.py", ">= PEER_LOST_MS:", ">= 1e9:",
          (UNITS, f"{FAILURES}::test_a_server_that_loses_its_calls_has_them_released_within_8_s")),
    Guard("INVAL brings all legs under question", "iax2/liveness.py", "if self._audit_from_ms < 0:", "if False:", (UNITS,)),
    Guard("a refused datagram ends standing calls", "iax2/trunk.py", '        self._end_established_calls("refused")\n', "",
          (f"{FAILURES}::test_a_server_that_loses_its_calls_has_them_released_within_8_s",)),
    Guard("an answer has a description", "iax2/trunk.py", "if description is None and request.description:", "if False:",
          (f"{BAD_CALLERS}::test_an_answer_without_a_description_is_not_passed_on",)),
)  # fmt: skip
