"""Removes each guard in a copy of the tree and runs the tests that are to notice: `python -m benchmarks.guards [WORD]`.

A guard whose removal no test notices is printed as `unnoticed`, and the exit code is 1. WORD: only those whose file's path has it. Too long for CI.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
AT_ONCE = 4  # copies under test
LEGS, UNITS, FAILURES = (
    "tests/iax2/test_legs.py",
    "tests/iax2/test_decisions.py",
    "tests/iax2/test_failures.py",
)
TRANSPORT, CODEC, MIXED = (
    "tests/iax2/test_transport.py",
    "tests/iax2/test_frames.py",
    "tests/iax2/test_mixed.py",
)
PLAYED = "tests/test_exchanges.py"
LINK, VIEW, ORDER, MODEL, FLEET = (
    "tests/agreement/test_link.py",
    "tests/membership/test_view.py",
    "tests/turns/test_order.py",
    "tests/turns/test_model.py",
    "tests/fleet/test_turns.py",
)
HEAD, TABLE, SHELF, COUNTS, JUDGE, STEPS = (
    "tests/rules/test_head.py",
    "tests/rules/test_table.py",
    "tests/rules/test_shelf.py",
    "tests/rollout/test_evidence.py",
    "tests/rollout/test_judge.py",
    "tests/rollout/test_steps.py",
)


@dataclass(frozen=True, slots=True)
class Guard:
    """One guard: what stands in the code, what takes its place, and who is to notice."""

    name: str
    file: str
    code: str
    without: str
    tests: tuple[str, ...]


GUARDS = (
    Guard("a lease counts from its asking, less drift", "../agreement/pace.py", "asked_ms + self.ttl_ms * (1.0 - DRIFT)", "asked_ms + self.ttl_ms * 9.0", (LINK,)),
    Guard("pauses are drawn", "../agreement/pace.py", "return pause * (0.1 + 0.9 * self._random.random())", "return pause * 2", (LINK,)),
    Guard("changes follow what was read", "../agreement/port.py", "changes.cluster != snapshot.cluster or changes.revision < snapshot.revision", "False", (LINK,)),
    Guard("an older value is no win", "../agreement/port.py", "entry.mod > compared.get(deed.key, 0)", "True", (LINK,)),
    Guard("nothing is tried on an ended lease", "../agreement/link.py", "if not self.may_act() and any(", "if False and any(", (LINK,)),
    Guard("an older store is named", "../agreement/link.py", "if (found.cluster, found.revision) < (cluster, revision) or (", "if False and (", (LINK,)),
    Guard("a lost reply is read back", "../agreement/link.py", "return self._read_back(attempt)", "return Outcome.UNKNOWN", (LINK,)),
    Guard("a lease that is never answered is left to end", "../agreement/link.py", "held = self.lease.hold(now) is Hold.HELD", "held = bool(self.lease.number)", (LINK,)),
    Guard("a step compares the head's value", "../rules/head.py", "Compare(HEAD, there.mod, there.value)", "Compare(HEAD, there.mod)", (HEAD,)),
    Guard("an older head is not obeyed", "../rules/head.py", "return head.number == seen.number and head.tag == seen.tag", "return True", (HEAD,)),
    Guard("one rollout at a time", "../rules/head.py", "if rollout is not None and rollout.goes_on:\n        first", "if False:\n        first", (HEAD,)),
    Guard("the log is bounded", "../rules/head.py", "[-(KEPT - 1) :]", "", (HEAD,)),
    Guard("a head out of range is not used", "../rules/head.py", "found is None or not _sound(found)", "found is None", (HEAD,)),
    Guard("rules are what their name says", "../rules/records.py", "and version_of(rules) == version", "", (HEAD,)),
    Guard("the snapshot's checksum", "../rules/shelf.py", "if sha256(body).hexdigest().encode() != checksum:", "if False:", (SHELF,)),
    Guard("the snapshot's format", "../rules/shelf.py", "if found.format != FORMAT:", "if False:", (SHELF,)),
    Guard("kinds of calls are bounded", "../rules/table.py", "first_choice if first_choice in self._choices else -1", "first_choice", (TABLE,)),
    Guard("a route only narrows", "../policy/routes.py", "(call.route is None or leaves(call.route, pool)) and ", "", (TABLE,)),
    Guard("what rules leave nothing is refused at once", "../policy/lifecycle.py", "if route is not None and ready and not any(", "if False and not any(", (TABLE,)),
    Guard("a held call's rules hold up nobody", "../policy/lifecycle.py", "                        if call.route is None:\n", "                        if True:\n", (TABLE,)),
    Guard("of one life the last value counts", "../rollout/evidence.py", "or joined[key].told < one.told", "or True", (COUNTS,)),
    Guard("a call counts in the stage of its arrival", "../rollout/evidence.py", "if mark // BUCKETS != self.stage or", "if", (COUNTS,)),
    Guard("nothing is counted while no rollout goes on", "../rollout/evidence.py", " or not self.stage:", ":", (COUNTS,)),
    Guard("a value stands under its own key", "../rollout/evidence.py", "or entry.key != key_of(name, one.incarnation)", "", (COUNTS,)),
    Guard("what is out has to fit", "../turns/order.py", "max(limits.floor * self._whole[turn.kind], self._load)", "limits.floor * self._whole[turn.kind]", ("tests/turns/test_capacity.py",)),
    Guard("a shut gate carries nothing", "../policy/controller.py", "0.0 if pool.ejected else pool.limit", "pool.limit", (TABLE,)),
    Guard("bursts are no independent calls", "../rollout/judge.py", "logs.append(whole / dispersion)", "logs.append(whole)", (JUDGE,)),
    Guard("zones are compared with themselves", "../rollout/judge.py", 'one.zone if one.zone in zones[0] and one.zone in zones[1] else ""', '""', (JUDGE,)),
    Guard("somebody is left to compare with", "../rollout/stages.py", "max(len(names) - 1, 1)", "len(names)", (STEPS,)),
    Guard("nothing widens before all confirmed", "../rollout/steps.py", "(said := seen.said.get(name)) is not None and said.version == rollout.version", "True", (STEPS,)),
    Guard("one that tells nothing halts", "../rollout/steps.py", "if silent > most:", "if False:", (STEPS,)),
    Guard("the own cut is no lost store", "../rollout/steps.py", "<= told + 1 for", "< 1e9 for", (STEPS,)),
    Guard("a former life confirms nothing", "../rollout/confirm.py", " or said[name].incarnation != life", "", (STEPS,)),
    Guard("a late beat is no sign of life", "../membership/view.py", "facts.beat <= beat", "facts.beat == beat", (VIEW,)),
    Guard("a newer format is not guessed at", "../agreement/values.py", "found.format == form", "True", (VIEW,)),
    Guard("a younger process of one name is seen", "../membership/view.py", "facts is not None and facts.incarnation > incarnation", "False", (VIEW,)),
    Guard("what can't be read stops grants", "../turns/order.py", "lambda: bool(turns.unreadable)", "lambda: False", (ORDER,)),
    Guard("an old picture stops grants", "../turns/order.py", "lambda: not fleet.fresh", "lambda: False", (ORDER,)),
    Guard("machines out are limited", "../turns/order.py", "self._out >= limits.out:", "False:", (ORDER,)),
    Guard("those of a zone are limited", "../turns/order.py", "self._zones[turn.zone] >= limits.out_zone", "False", (ORDER,)),
    Guard("capacity has a floor", "../turns/order.py", "if remains < max(", "if False and remains < max(", (ORDER,)),
    Guard("a grant compares with the gate", "../turns/steps.py", "Compare(GATE, turns.gate_mod), ", "", (MODEL,)),
    Guard("a grant is for one life", "../turns/steps.py", "turn.grant == own.incarnation", "True", (ORDER,)),
    Guard("one that died on its turn is out", "../turns/steps.py", "            if away or reborn:\n                return _step(held, Phase.OUT, DIED + \"turn\")\n            if turn.kind", "            if turn.kind", (ORDER,)),
    Guard("a machine has one turn", "../turns/records.py", "if (turn.kind, turn.machine) in names:", "if False:", (ORDER,)),
    Guard("what is withheld stays so", "../servers/listing.py", "self._tell(kind, [shown(server, self.withheld) for server in servers])", "self._tell(kind, servers)", ("tests/test_listing.py",)),
    Guard("one that woke takes calls again", "../turns/host.py", "and not turn.note.startswith(steps.DIED)", "", (f"{FLEET}::test_one_stopped_past_its_lease_counts_as_out_and_does_no_work_on_the_old_grant",)),
    Guard("a repeat asks whether its server drains", "doubt.py", "return ready and wanted and", "return wanted and",
          (UNITS, f"{FAILURES}::test_a_repeated_new_for_a_server_that_drained_is_new_work_and_does_not_leave")),
    Guard("a NEW is asked for before each repeat", "transport.py", "not sent.may_repeat()", "False", (TRANSPORT, LEGS)),
    Guard("silence proves nothing", "doubt.py", "End.SILENT: Ending.RESET", "End.SILENT: Ending.UNREACHABLE", (UNITS,)),
    Guard("no cause proves after work", "doubt.py", "if stage is Stage.ACCEPTED and", "if False and", (UNITS,)),
    Guard("an attempt given up ends when confirmed", "trunk.py", "        return None\n\n    def _close", "        return Progress.SENT\n\n    def _close",
          (f"{FAILURES}::test_no_second_attempt_while_lost_hang_ups_leave_the_first_at_work",)),
    Guard("a late copy of a NEW is no set-up", "listener.py", "elif token in self._spent:", "elif False:",
          (f"{FAILURES}::test_a_plain_caller_is_served_and_a_late_copy_of_its_new_is_no_second_set_up",)),
    Guard("a repeated NEW is the same NEW", "listener.py", "leg is not None and leg.token == token", "False",
          (f"{FAILURES}::test_a_plain_caller_is_served_and_a_late_copy_of_its_new_is_no_second_set_up",)),
    Guard("a token is bound to its source", "tokens.py", "hmac.compare_digest(digest, _digest(secret, source, number, told))", "True",
          (UNITS, PLAYED)),
    Guard("a token ages", "tokens.py", "<= LIVES_MS:", "<= 1e18:", (UNITS,)),
    Guard("the token's time is taken off the patience", "listener.py", "offer.patience_ms -= ", "offer.patience_ms -= 0 * ",
          (f"{FAILURES}::test_the_time_that_a_token_took_is_taken_off_the_patience",)),
    Guard("the secret is checked", "leg.py", "hmac.compare_digest(told, wanted)", "True", (LEGS,)),
    Guard("legs are limited in all", "admission.py", "self.legs >= self._limits.legs", "False",
          (UNITS, f"{FAILURES}::test_legs_beyond_the_limit_are_refused_with_a_time_to_come_back")),
    Guard("half-open legs go in time", "listener.py", "self._admission.overdue(now)", "[]",
          (f"{FAILURES}::test_legs_that_never_say_who_they_are_go_in_time_and_make_room",)),
    Guard("proven sources are not among the forged", "admission.py", "if proved is not None and", "if False and", (UNITS,)),
    Guard("token replies are limited", "admission.py", "if self._tokens < 1:", "if False:", (UNITS,)),
    Guard("both numbers of a frame have to fit", "trunk.py", "leg.transport.destination not in (0, frame.source)", "False",
          (f"{FAILURES}::test_an_answer_under_another_leg_s_number_is_not_taken",)),
    Guard("a hung up leg answers no call", "leg.py", "None if self.closing else MOVES", "MOVES", (LEGS,)),
    Guard("an end is heard over a gap", "leg.py", "verdict is Verdict.EARLY and iax in", "False and iax in", (LEGS,)),
    Guard("a gap before a HANGUP is doubt", "leg.py", "        if early:", "        if False:", (LEGS,)),
    Guard("the order has no hole at the end", "transport.py", "if sent.may_repeat is not None:\n                sent", "if False:\n                sent", (TRANSPORT, LEGS)),
    Guard("one challenge a leg", "leg.py", "if self._challenged or not", "if not", (LEGS,)),
    Guard("copies are not taken again", "transport.py", "if ahead >= 128:", "if False:", (TRANSPORT, LEGS)),
    Guard("old acknowledgements confirm nothing", "transport.py", "if confirmed > len(self._pending):", "if False:", (TRANSPORT,)),
    Guard("unconfirmed frames are bounded", "transport.py", "len(self._pending) >= MOST_UNCONFIRMED", "False", (TRANSPORT,)),
    Guard("parts of a description in order", "frames.py", "not block or block[0] != place", "not block", (CODEC,)),
    Guard("a description's length fits", "frames.py", "len(whole) - 2 != whole[0] << 8 | whole[1]", "False", (CODEC,)),
    Guard("a subclass is bounded", "frames.py", "> 63:", "> 255:", (CODEC,)),
    Guard("call numbers rest", "numbers.py", ">= RESTS_MS", ">= 0", (UNITS, f"{FAILURES}::test_call_numbers_that_run_out_are_not_used_again_and_their_calls_go_elsewhere")),
    Guard("a silent server's calls end", "liveness.py", ">= LOST_MS:", ">= 1e9:",
          (UNITS, f"{FAILURES}::test_a_server_that_loses_its_calls_has_them_released_within_8_s")),
    Guard("INVAL brings all legs under question", "liveness.py", "if self._audit_from < 0:", "if False:", (UNITS,)),
    Guard("a refused datagram ends standing calls", "trunk.py", '        self._lost("refused")\n', "",
          (f"{FAILURES}::test_a_server_that_loses_its_calls_has_them_released_within_8_s",)),
    Guard("an answer has a description", "trunk.py", "if description is None and offer.description:", "if False:",
          (f"{FAILURES}::test_an_answer_without_a_description_is_not_passed_on",)),
    Guard("depth of the operator's file", "../records/language.py", "if depth > MOST_DEPTH:", "if False:", ("tests/test_records.py",)),
    Guard("fields that nobody asked for", "../records/check.py", "if key not in self._asked:", "if False:", ("tests/test_records.py",)),
)  # fmt: skip


def passes(tree: Path, test: str) -> tuple[bool, str]:
    """Does a test pass in this tree? And what it printed."""
    command = [sys.executable, "-m", "pytest", "-q", "-x", "-n", "0", "-p", "no:cacheprovider", test]
    environment = {"PATH": "/usr/bin:/bin", "PYTHONPATH": str(tree), "PYTHONDONTWRITEBYTECODE": "1"}
    done = subprocess.run(command, cwd=tree, capture_output=True, text=True, env=environment)
    return done.returncode == 0, done.stdout


def noticed(guard: Guard) -> str:
    """Which of the guard's tests failed without it; empty where none did."""
    with tempfile.TemporaryDirectory(prefix="pearloom-guard-") as folder:
        tree = Path(folder) / "tree"
        shutil.copytree(
            ROOT, tree, ignore=shutil.ignore_patterns(".*", "journal", "logs", "*.egg-info", "__pycache__")
        )
        shutil.copy(ROOT / "README.md", tree)
        path = (tree / "pearloom" / "iax2" / guard.file).resolve()
        text = path.read_text()
        if text.count(guard.code) != 1:
            return f"stands {text.count(guard.code)} times in {guard.file}: this list is out of date"
        path.write_text(text.replace(guard.code, guard.without))
        for test in guard.tests:
            passed, told = passes(tree, test)
            if not passed:
                return next((line for line in told.splitlines() if line.startswith("FAILED")), test)[:140]
    return ""


def main() -> int:
    """Try all, print a line each."""
    missed, word = 0, sys.argv[1] if len(sys.argv) > 1 else ""
    chosen = [guard for guard in GUARDS if word in guard.file]
    for test in sorted({test for guard in chosen for test in guard.tests}):
        # Guards against taking a test that fails anyway for one that notices.
        if not passes(ROOT, test)[0]:
            print(f"{test} fails with all guards in place")
            return 1
    with ThreadPoolExecutor(AT_ONCE) as pool:
        for guard, found in zip(chosen, pool.map(noticed, chosen), strict=True):
            bad = not found or "out of date" in found
            missed += bad
            print(f"{'unnoticed' if not found else 'noticed  '} {guard.name}: {found}", flush=True)
    print(f"{len(chosen) - missed} of {len(chosen)} guards are noticed when they are gone")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
