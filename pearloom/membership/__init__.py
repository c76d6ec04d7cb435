"""The members of the fleet as one softswitch sees them, from the store's keys and the local clock."""

from pearloom.membership.view import (
    MEMBERS_PREFIX,
    ROSTER_PREFIX,
    Condition,
    Member,
    MemberFacts,
    RosterEntry,
    View,
    publish_facts,
    remove_member,
    update_view,
)

__all__ = [
    "MEMBERS_PREFIX", "ROSTER_PREFIX", "Condition", "Member", "MemberFacts", "RosterEntry", "View",
    "publish_facts", "remove_member", "update_view",
]  # fmt: skip
