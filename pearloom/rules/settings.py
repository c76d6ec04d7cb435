"""The record `rules` of the operator's file: where the last head is kept, how rollouts go and halt."""

from __future__ import annotations

from dataclasses import dataclass, field

from pearloom.records import Fields
from pearloom.rules.head import MAX_STAGES, Terms


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """How a rollout goes, unless a proposal says otherwise."""

    stages: tuple[float, ...] = (0.0, 0.1, 0.5)  # shares of the softswitches; 0: one
    terms: Terms = field(default_factory=Terms)
    stay: bool = False  # halted, the stage keeps the new version


@dataclass(frozen=True, slots=True)
class RulesSettings:
    """What the operator says of rules."""

    snapshot: str = ""  # a file; empty: none is kept, and a start without the store has no rules
    wait_ms: float = 1_000.0  # for the store at a start, before the first call is taken
    rollout: RolloutSettings = field(default_factory=RolloutSettings)


def read_rules_settings(fields: Fields) -> RulesSettings:
    """The record `rules`; a RecordError says what is wrong and where."""
    base, count = Terms(), fields.number
    stages = tuple(
        0.0 if text == "one" else float(text)
        for text in fields.texts("stages", r"one|0\.[0-9]{1,3}", "'one' or a share below 1, as '0.25'")
    )
    if list(stages) != sorted(set(stages)) or len(stages) > MAX_STAGES:
        raise fields.error("stages", f"have to grow, and be {MAX_STAGES} at most")
    stay = fields.text("halted", "back", "back|stay", "'back' or 'stay'") == "stay"
    terms = Terms(
        soak_ms=float(count("soak_ms", base.soak_ms, 100, 86_400_000)),
        evidence_ms=float(count("evidence_ms", base.evidence_ms, 1_000, 604_800_000)),
        least_calls=int(count("least_calls", base.least_calls, 1, 1_000_000, is_integer=True)),
        tell_ms=float(count("tell_ms", base.tell_ms, 100, 60_000)),
        look_ms=float(count("look_ms", base.look_ms, 100, 600_000)),
        silent_ms=float(count("silent_ms", base.silent_ms, 500, 600_000)),
        away_ms=float(count("away_ms", base.away_ms, 500, 3_600_000)),
        rate=float(count("rate", base.rate, 0.0001, 0.2)),
        tolerance=float(count("tolerance", base.tolerance, 1, 10)),
    )
    if terms.silent_ms < 3 * terms.tell_ms:
        # Guards against a stage that halts because one of what it is told came a moment late.
        raise fields.error("silent_ms", "has to be at least three times tell_ms")
    return RulesSettings(
        fields.text("snapshot", "", r"/.{1,200}", "an absolute path"),
        float(count("wait_ms", 1_000, 0, 10_000)),
        RolloutSettings(stages or RolloutSettings().stages, terms, stay),
    )
