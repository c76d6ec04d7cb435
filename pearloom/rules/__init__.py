"""Routing rules of the whole fleet: typed records, versions, the head, and the compiled routing table.

Loaded only if the operator's file names a store.
"""

from pearloom.rules.head import Head, HeadState, Request, Rollout, RolloutTerms, read_head_state
from pearloom.rules.records import EMPTY_VERSION, Rule, RulesError, RuleSet, version_of
from pearloom.rules.settings import RolloutSettings, RulesSettings, read_rules_settings

__all__ = [
    "EMPTY_VERSION", "Head", "HeadState", "Request", "Rollout", "RolloutSettings", "RolloutTerms", "Rule",
    "RuleSet", "RulesError", "RulesSettings", "read_head_state", "read_rules_settings", "version_of",
]  # fmt: skip
