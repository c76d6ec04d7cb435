"""Capacities of the machines, from the gate limits that the softswitches publish. No I/O.

A server's capacity is the sum of the limits of all softswitches' gates to it; a softswitch's is the sum of
the limits of its own gates. A machine without published limits counts as the mean of its kind; if no limits
are published at all, every machine counts as 1. The outstanding set-ups have to fit into the capacity that
remains, however low the floor is set.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from pearloom.maintenance.order import Machine
from pearloom.maintenance.records import MachineKind
from pearloom.membership.view import Member


def with_capacities(machines: Iterable[Machine], members: Iterable[Member]) -> tuple[Machine, ...]:
    """The machines with the capacities that follow from the members' gate limits."""
    facts = {member.name: member.facts for member in members if member.facts is not None}
    servers: dict[str, float] = {}
    for published in facts.values():
        for server, limit in published.limits.items():
            servers[server] = servers.get(server, 0.0) + limit
    known = {
        MachineKind.SERVER: servers,
        MachineKind.SOFTSWITCH: {name: sum(published.limits.values()) for name, published in facts.items()},
    }
    return tuple(replace(machine, capacity=_capacity(machine, known[machine.kind])) for machine in machines)


def _capacity(machine: Machine, known: Mapping[str, float]) -> float:
    total = sum(known.values())
    if total <= 0.0:
        return 1.0
    return known.get(machine.name, total / len(known))


def outstanding_set_ups(members: Iterable[Member]) -> float:
    """The number of unanswered set-ups in the whole fleet."""
    return float(sum(member.facts.outstanding for member in members if member.facts is not None))
