"""Which softswitches are in a stage, and how often each of them publishes. A decision: no I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from hashlib import blake2b
from math import ceil

PUBLISH_MS_PER_SOFTSWITCH = 20.0  # the store takes 50 values a second from the whole fleet
MISSED_PUBLICATIONS = 4.0  # minimum number of missed values before a softswitch counts as silent


def order(names: Mapping[str, str], rollout: int) -> tuple[str, ...]:
    """Order all softswitches (name -> zone) as they join the stages.

    Rendezvous hashing (Thaler, Ravishankar 1998) by the rollout's id. Each stage is a prefix of this order
    and therefore contains the previous stage, another rollout starts with other softswitches, and one that
    joins or leaves the fleet does not reorder the others. Zones alternate, so that a stage is spread over
    them."""
    by_zone: dict[str, list[str]] = defaultdict(list)
    for name in sorted(names, key=lambda name: _hash(rollout, name)):
        by_zone[names[name]].append(name)
    zones = sorted(by_zone, key=lambda zone: _hash(rollout, by_zone[zone][0]))
    longest = max(map(len, by_zone.values()), default=0)
    return tuple(
        by_zone[zone][position]
        for position in range(longest)
        for zone in zones
        if position < len(by_zone[zone])
    )


def _hash(rollout: int, name: str) -> bytes:
    return blake2b(f"{rollout} {name}".encode(), digest_size=8).digest()


def members(names: Mapping[str, str], rollout: int, share: float) -> tuple[str, ...]:
    """Return the members of a stage: a share of all softswitches (0: a single one).

    At least one is a member, and with two or more at least one is left out, as the control group."""
    count = min(max(ceil(share * len(names)), 1), max(len(names) - 1, 1))
    return order(names, rollout)[:count]


def publish_interval_ms(min_ms: float, softswitches: int) -> float:
    """Return the time between two published values of one softswitch, in ms.

    Guards against a load on the store that grows with the square of the fleet's size: each value is sent to
    every softswitch."""
    return max(min_ms, PUBLISH_MS_PER_SOFTSWITCH * softswitches)


def silence_limit_ms(min_silent_ms: float, min_interval_ms: float, softswitches: int) -> float:
    """Return the time without a published value, in ms, after which a softswitch counts as silent."""
    return max(min_silent_ms, MISSED_PUBLICATIONS * publish_interval_ms(min_interval_ms, softswitches))
