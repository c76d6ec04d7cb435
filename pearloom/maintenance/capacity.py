"""What each machine can carry, from what the gates of all softswitches allow. A decision: no I/O.

A server's capacity is the sum of what the softswitches' gates to it allow out at once; a softswitch's is the
sum of its own gates. Whoever tells nothing of itself counts as the mean of its kind, and where nobody tells
anything every machine counts as one. What is out now has to fit into what remains, however low the floor.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from pearloom.maintenance.order import Machine
from pearloom.maintenance.records import MachineKind
from pearloom.membership.view import Member


def with_capacities(machines: Iterable[Machine], members: Iterable[Member]) -> tuple[Machine, ...]:
    """The machines with the capacity that the members' gates give them."""
    facts = {one.name: one.facts for one in members if one.facts is not None}
    servers: dict[str, float] = {}
    for told in facts.values():
        for server, limit in told.limits.items():
            servers[server] = servers.get(server, 0.0) + limit
    known = {
        MachineKind.SERVER: servers,
        MachineKind.SOFTSWITCH: {name: sum(told.limits.values()) for name, told in facts.items()},
    }
    return tuple(replace(one, capacity=_of(one, known[one.kind])) for one in machines)


def _of(machine: Machine, known: Mapping[str, float]) -> float:
    whole = sum(known.values())
    if whole <= 0.0:
        return 1.0
    return known.get(machine.name, whole / len(known))


def outstanding_set_ups(members: Iterable[Member]) -> float:
    """Set-ups that are out in the whole fleet."""
    return float(sum(one.facts.outstanding for one in members if one.facts is not None))
