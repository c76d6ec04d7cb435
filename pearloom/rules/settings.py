"""The record `rules` of the operator's file: the snapshot's path, and how rollouts proceed and halt."""

from __future__ import annotations

from dataclasses import dataclass, field

from pearloom.records import Fields
from pearloom.rules.head import MAX_STAGES, RolloutTerms


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """Defaults of a rollout; a proposal may override `stages` and `stay`."""

    stages: tuple[float, ...] = (0.0, 0.1, 0.5)  # shares of the softswitches; 0: a single one
    terms: RolloutTerms = field(default_factory=RolloutTerms)
    stay: bool = False  # members of the stage keep the new version after a halt


@dataclass(frozen=True, slots=True)
class RulesSettings:
    """Settings of the routing rules."""

    snapshot: str = ""  # path; empty: no snapshot, and a start without the store has no rules
    wait_ms: float = 1_000.0  # longest wait for the store at start, before the first call
    rollout: RolloutSettings = field(default_factory=RolloutSettings)


def read_rules_settings(fields: Fields) -> RulesSettings:
    """Read the record `rules`; raises a RecordError with the line of an invalid setting."""
    defaults, number = RolloutTerms(), fields.number
    stages = tuple(
        0.0 if text == "one" else float(text)
        for text in fields.texts("stages", r"one|0\.[0-9]{1,3}", "'one' or a share below 1, as '0.25'")
    )
    if list(stages) != sorted(set(stages)) or len(stages) > MAX_STAGES:
        raise fields.error("stages", f"have to grow, and be {MAX_STAGES} at most")
    stay = fields.text("halted", "back", "back|stay", "'back' or 'stay'") == "stay"
    terms = RolloutTerms(
        soak_ms=float(number("soak_ms", defaults.soak_ms, 100, 86_400_000)),
        evidence_ms=float(number("evidence_ms", defaults.evidence_ms, 1_000, 604_800_000)),
        least_calls=int(number("least_calls", defaults.least_calls, 1, 1_000_000, is_integer=True)),
        tell_ms=float(number("tell_ms", defaults.tell_ms, 100, 60_000)),
        look_ms=float(number("look_ms", defaults.look_ms, 100, 600_000)),
        silent_ms=float(number("silent_ms", defaults.silent_ms, 500, 600_000)),
        away_ms=float(number("away_ms", defaults.away_ms, 500, 3_600_000)),
        rate=float(number("rate", defaults.rate, 0.0001, 0.2)),
        tolerance=float(number("tolerance", defaults.tolerance, 1, 10)),
    )
    if terms.silent_ms < 3 * terms.tell_ms:
        # Guards against a halt because a single published value arrived slightly late.
        raise fields.error("silent_ms", "has to be at least three times tell_ms")
    return RulesSettings(
        fields.text("snapshot", "", r"/.{1,200}", "an absolute path"),
        float(number("wait_ms", 1_000, 0, 10_000)),
        RolloutSettings(stages or RolloutSettings().stages, terms, stay),
    )
