"""Who is in the fleet, as one softswitch sees it: pure, from what the store holds and the own clock."""

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
