"""Checks the history of maintenance slots and of the rules head, from the writes to the store alone."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from pearloom.fakes.etcd import KeyValueStore

PREFIX = b"/pearloom/turns/"
OUT = ("granted", "draining", "out", "returning")
# The phases that may follow each phase; "": the key does not exist.
MAY_FOLLOW: Mapping[str, tuple[str, ...]] = {
    "": ("waiting",),
    "waiting": ("granted", ""),
    "granted": ("draining", "out", "waiting", "returning"),
    "draining": ("out", "returning"),
    "out": ("returning",),
    "returning": ("out", "done"),
    "done": ("",),
}


def slot_violations(store: KeyValueStore, most_out: int) -> list[str]:
    """Return a line for each violation: too many machines out, phases out of order, two slots a machine."""
    violations: list[str] = []
    slots: dict[str, Mapping[str, Any]] = {}
    for change in store.since(1, PREFIX, b"/pearloom/turns0"):
        name = change.held.key[len(PREFIX) :].decode()
        before = str(slots[name]["phase"]) if name in slots else ""
        if change.deleted:
            slots.pop(name, None)
            after = ""
        else:
            slots[name] = json.loads(change.held.value)
            after = str(slots[name]["phase"])
        if after not in MAY_FOLLOW[before]:
            violations.append(
                f"{change.held.mod_revision}: slot {name} went"
                f" from {before or 'nothing'} to {after or 'nothing'}"
            )
        out = [slot["machine"] for slot in slots.values() if slot["phase"] in OUT]
        if len(out) > most_out:
            violations.append(f"{change.held.mod_revision}: {out} are out, at most {most_out} may be")
        if len(set(out)) < len(out):
            violations.append(f"{change.held.mod_revision}: a machine has two slots at once: {out}")
    return violations


def rule_violations(store: KeyValueStore) -> list[str]:
    """Return a line for each violation of an invariant of the rules head.

    A head's number only grows, with one log entry for each number; a halted rollout never widens; a stage
    contains the one before; the version in force is the previous one or that of a rollout or of an edit."""
    violations: list[str] = []
    before: Mapping[str, Any] = {"number": 0, "rollout": None}
    logged: dict[int, str] = {}
    for change in store.since(1, b"/pearloom/rules/", b"/pearloom/rules0"):
        key = change.held.key[len(b"/pearloom/rules/") :].decode()
        if change.deleted:
            continue
        if key.startswith("log/"):
            entry = json.loads(change.held.value)
            if logged.setdefault(entry["number"], entry["tag"]) != entry["tag"]:
                violations.append(
                    f"{change.held.mod_revision}: two entries have the number {entry['number']}"
                )
        if key != "head":
            continue
        head = json.loads(change.held.value)
        if head["number"] <= before["number"]:
            violations.append(f"{change.held.mod_revision}: head {head['number']} after {before['number']}")
        old, new = before["rollout"], head["rollout"]
        if old and new and old["id"] == new["id"]:
            if old["halted"] and (new["stage"] > old["stage"] or not new["halted"]):
                violations.append(
                    f"{change.held.mod_revision}: rollout {new['id']} went on after it was halted"
                )
            if not set(old["members"]) <= set(new["members"]):
                violations.append(
                    f"{change.held.mod_revision}: a stage of rollout {new['id']} lost softswitches"
                )
        before = head
    return violations
