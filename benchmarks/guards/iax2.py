"""Guards on calls over IAX2, on both sides."""

from __future__ import annotations

from benchmarks.guards.guard import Guard

LEGS, DECISIONS, FAILURES = (
    "tests/iax2/test_legs.py",
    "tests/iax2/test_decisions.py",
    "tests/iax2/test_failures.py",
)
BAD_CALLERS = "tests/iax2/test_bad_callers.py"
TRANSPORT, CODEC = "tests/iax2/test_transport.py", "tests/iax2/test_frames.py"
EXCHANGES = "tests/test_exchanges.py"

IAX2 = (
    Guard("a retransmission checks whether the server drains", "iax2/attempt_endings.py", "return ready and wanted and", "return wanted and",
          (DECISIONS, f"{FAILURES}::test_a_new_is_not_retransmitted_to_a_server_that_drained")),
    Guard("a NEW is confirmed as wanted before each retransmission", "iax2/transport.py", "not sent.may_retransmit()", "False", (TRANSPORT, LEGS)),
    Guard("silence proves nothing", "iax2/attempt_endings.py", "SetUpFailure.SILENT: Ending.RESET", "SetUpFailure.SILENT: Ending.UNREACHABLE", (DECISIONS,)),
    Guard("no cause proves anything after the server has started work", "iax2/attempt_endings.py", "if stage is Stage.ACCEPTED and", "if False and", (DECISIONS,)),
    Guard("an abandoned attempt ends when its HANGUP is acknowledged", "iax2/trunk.py", "        return None\n\n    def _close", "        return Progress.SENT\n\n    def _close",
          (f"{FAILURES}::test_no_second_attempt_while_lost_hangups_leave_the_first_running",)),
    Guard("a late copy of a NEW is no set-up", "iax2/listener.py", "elif token in self._used_tokens:", "elif False:",
          (f"{BAD_CALLERS}::test_a_plain_caller_is_served_and_a_late_copy_of_its_new_is_no_second_set_up",)),
    Guard("a retransmitted NEW belongs to the same leg", "iax2/listener.py", "leg is not None and leg.token == token", "False",
          (f"{BAD_CALLERS}::test_a_plain_caller_is_served_and_a_late_copy_of_its_new_is_no_second_set_up",)),
    Guard("a token is bound to its source", "iax2/call_tokens.py", "hmac.compare_digest(digest, _digest(secret, source, number, issued))", "True",
          (DECISIONS, EXCHANGES)),
    Guard("a token expires", "iax2/call_tokens.py", "<= LIFETIME_MS:", "<= 1e18:", (DECISIONS,)),
    Guard("the time for the token is taken off the caller's patience", "iax2/listener.py", "request.patience_ms -= ", "request.patience_ms -= 0 * ",
          (f"{BAD_CALLERS}::test_the_time_of_the_token_exchange_counts_against_the_patience",)),
    Guard("the secret is checked", "iax2/in_leg.py", "hmac.compare_digest(result, expected)", "True", (LEGS,)),
    Guard("the total number of legs is limited", "iax2/admission.py", "self.legs >= self._limits.legs", "False",
          (DECISIONS, f"{BAD_CALLERS}::test_legs_beyond_the_limit_are_refused_with_a_retry_time")),
    Guard("half-open legs time out", "iax2/listener.py", "self._admission.overdue(now)", "[]",
          (f"{BAD_CALLERS}::test_half_open_legs_are_dropped_in_time_and_make_room",)),
    Guard("proven sources do not count with unproven ones", "iax2/admission.py", "if proven_ms is not None and", "if False and", (DECISIONS,)),
    Guard("token replies are limited", "core/token_bucket.py", "if self._tokens < 1:", "if False:", (DECISIONS,)),
    Guard("both call numbers of a frame have to match", "iax2/trunk.py", "leg.transport.destination not in (0, frame.source)", "False",
          (f"{BAD_CALLERS}::test_an_answer_under_another_leg_s_number_is_ignored",)),
    Guard("a leg that is closing answers no call", "iax2/out_leg.py", "None if self.is_closing else TRANSITIONS", "TRANSITIONS", (LEGS,)),
    Guard("an end is read across a sequence gap", "iax2/leg.py", "verdict is Verdict.OUT_OF_ORDER and iax in", "False and iax in", (LEGS,)),
    Guard("a gap before a HANGUP makes the attempt uncertain", "iax2/out_leg.py", "        if has_gap:", "        if False:", (LEGS,)),
    Guard("a withdrawn NEW leaves no gap in the sequence", "iax2/transport.py", "if sent.may_retransmit is not None:\n                sent", "if False:\n                sent", (TRANSPORT, LEGS)),
    Guard("one challenge per leg", "iax2/out_leg.py", "if self._was_challenged or not", "if not", (LEGS,)),
    Guard("duplicates are not handled again", "iax2/transport.py", "if ahead >= 128:", "if False:", (TRANSPORT, LEGS)),
    Guard("old acknowledgements have no effect", "iax2/transport.py", "if acknowledged > len(self._pending):", "if False:", (TRANSPORT,)),
    Guard("unacknowledged frames are bounded", "iax2/transport.py", "len(self._pending) >= MAX_UNACKNOWLEDGED", "False", (TRANSPORT,)),
    Guard("parts of a description in order", "iax2/frames.py", "not block or block[0] != index", "not block", (CODEC,)),
    Guard("a description's length is checked", "iax2/frames.py", "len(whole) - 2 != whole[0] << 8 | whole[1]", "False", (CODEC,)),
    Guard("a subclass is bounded", "iax2/frames.py", "> 63:", "> 255:", (CODEC,)),
    Guard("a released call number is not reused at once", "iax2/call_numbers.py", ">= REUSE_DELAY_MS", ">= 0", (DECISIONS, f"{BAD_CALLERS}::test_call_numbers_that_run_out_are_not_used_again_and_their_calls_go_elsewhere")),
    Guard("a silent server's calls end", "iax2/liveness.py", ">= PEER_LOST_MS:", ">= 1e9:",
          (DECISIONS, f"{FAILURES}::test_a_server_that_loses_its_calls_has_them_released_within_8_s")),
    Guard("an INVAL starts an audit of all legs", "iax2/liveness.py", "if self._audit_from_ms < 0:", "if False:", (DECISIONS,)),
    Guard("a peer that resumed on other legs is asked about an old one", "iax2/liveness.py", "if is_quiet or self._has_resumed:", "if is_quiet:", (DECISIONS,)),
    Guard("an INVAL names the leg that it ends", "iax2/legs.py", "frame.destination or NO_LEG", "NO_LEG",
          (f"{FAILURES}::test_calls_of_a_server_that_restarts_unnoticed_and_goes_on_with_new_ones_are_released_within_8_s",)),
    Guard("a refused datagram ends established calls", "iax2/trunk.py", '        self._end_established_calls("refused")\n', "",
          (f"{FAILURES}::test_a_server_that_loses_its_calls_has_them_released_within_8_s",)),
    Guard("an answer has a description", "iax2/trunk.py", "if description is None and request.description:", "if False:",
          (f"{BAD_CALLERS}::test_an_answer_without_a_description_is_not_passed_on",)),
)  # fmt: skip
