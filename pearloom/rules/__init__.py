"""Routing rules of the whole fleet: typed records, their versions, the head, and what a call is told by them.

Loaded only where the operator's file names a store.
"""

from pearloom.rules.head import Head, HeadState, Request, Rollout, Terms, read_there
from pearloom.rules.records import EMPTY, Rule, RulesError, RuleSet, version_of
from pearloom.rules.settings import RolloutSettings, RulesSettings, read_rules_settings

__all__ = [
    "EMPTY", "Head", "HeadState", "Request", "Rollout", "RolloutSettings", "Rule", "RuleSet", "RulesError",
    "RulesSettings", "Terms", "read_rules_settings", "read_there", "version_of",
]  # fmt: skip
