"""What rules tell of a call: each effect, bounded cost, and that the module obeys nothing that it may not."""

from __future__ import annotations

import itertools
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pearloom import interface as api
from pearloom.interface import ListKind, PoolEntry, PoolState, Route
from pearloom.policy import Controller
from pearloom.rules.check import MOST_CHOICES, KnownNames, find_errors
from pearloom.rules.records import (
    MAX_RULES,
    MOST_CAPS,
    MOST_NAMES,
    Avoid,
    Cap,
    Effect,
    Match,
    Only,
    Prefer,
    Rule,
    RuleSet,
    Spill,
    Weigh,
    canonical,
    read_rules,
    version_of,
)
from pearloom.rules.table import FIRST, LAST, OTHERS, OWN, SPILL, LocalContext, RoutingTable

PLACE = LocalContext(
    ("open-form", "save-answers"), ("nour", "sahel"), "amsterdam",
    {"amsterdam": frozenset({0, 1}), "dublin": frozenset({2}), "lyon": frozenset({3})},
)  # fmt: skip
KNOWN = KnownNames(PLACE.classes, PLACE.tenants, ("amsterdam", "dublin", "lyon"), ((), (0, 1)))


def table(*effects: Effect, match: Match | None = None) -> RoutingTable:
    made = tuple(Rule(f"r{at}", effect, match or Match()) for at, effect in enumerate(effects))
    return RoutingTable("v", RuleSet(rules=made), PLACE)


def test_no_rules_say_nothing() -> None:
    assert table().route(0, -1, 2) is None
    elsewhere = table(Only(cells=(1,)), match=Match(zone=("dublin",)))
    assert elsewhere.route(0, -1, 2) is None, "this softswitch stands in amsterdam"


@pytest.mark.parametrize(
    ("effect", "route"),
    [
        (Prefer((1,)), Route(tiers={1: FIRST}, default_tier=OTHERS)),
        (Prefer(zones=("dublin",)), Route(tiers={2: FIRST}, default_tier=OTHERS)),
        (Avoid((1,)), Route(tiers={1: LAST}, default_tier=OTHERS)),
        (Only((1, 2)), Route(allowed_cells=frozenset({1, 2}), default_tier=OTHERS)),
        (Weigh(2.0, (1,)), Route(default_tier=OTHERS, weights={1: 2.0})),
        (Spill(("dublin", "lyon")), Route(tiers={2: SPILL, 3: SPILL + 1}, default_tier=OTHERS)),
    ],
)
def test_each_effect(effect: Effect, route: Route) -> None:
    assert table(effect).route(0, -1, -1) == route


def test_what_a_rule_matches() -> None:
    one = table(Only((1,)), match=Match(("save-answers",), ("sahel",), (2,), ("amsterdam",)))
    assert one.route(1, 1, 2) is not None
    for kind, tenant, choice in ((0, 1, 2), (1, 0, 2), (1, -1, 2), (1, 1, 1), (1, 1, -1)):
        assert one.route(kind, tenant, choice) is None


def test_the_first_rule_decides_of_a_cell_and_only_narrows_further() -> None:
    both = table(Prefer((1,)), Avoid((1, 2)), Only((1, 2)), Only((2, 3)), Weigh(2.0, (1,)), Weigh(3.0, (1,)))
    route = both.route(0, -1, -1)
    assert route is not None
    assert (
        route.tiers == {1: FIRST, 2: LAST}
        and route.allowed_cells == frozenset({2})
        and route.weights == {1: 6.0}
    )


def test_spill_keeps_a_call_at_its_own_first_choice() -> None:
    route = table(Spill(("dublin",))).route(0, -1, 3)
    assert route is not None and route.tiers == {3: OWN, 2: SPILL}


@given(st.floats(0, 1), st.integers(1, 300))
def test_a_cap_holds_from_the_first_call_on(share: float, calls: int) -> None:
    one = table(Cap(share, (1,)))
    allowed = 0
    for call in range(1, calls + 1):
        route = one.route(0, -1, -1)
        allowed += route is None
        assert allowed <= share * call
    assert allowed >= share * calls - 1.0 - 1e-6


def test_kinds_of_calls_are_bounded() -> None:
    """Guards against first choices that callers make up and that fill the memory."""
    one = table(Prefer((1,)), match=Match(first_choice=(7,)))
    for choice in range(-1, 5_000):
        one.route(0, -1, choice)
    assert len(one._plans) == 2


# --- the check ----------------------------------------------------------------------------------------------
def rule(effect: Effect, name: str = "r", **match: tuple[str, ...] | tuple[int, ...]) -> Rule:
    return Rule(name, effect, Match(**match))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("made", "told"),
    [
        ([rule(Prefer())], "$.rules[0].effect: names neither cells nor zones"),
        ([rule(Prefer((1,)), "a b")], "$.rules[0].name: 1 to 64"),
        ([rule(Prefer((1,))), rule(Prefer((2,)))], "$.rules[1].name: 'r' is the name of more than one rule"),
        ([rule(Prefer((70_000,)))], "$.rules[0].effect.cells[0]: from 0 to 65535, not 70000"),
        ([rule(Prefer(zones=("lyons",)))], "effect.zones[0]: no zone 'lyons'; did you mean 'lyon'?"),
        ([rule(Prefer((1,)), classes=("open",))], "$.rules[0].match.class[0]: no class 'open'"),
        ([rule(Prefer((1,)), tenant=("x",))], "match.tenant[0]: no tenant 'x': none of nour, sahel"),
        ([rule(Prefer((1,)), first_choice=(-2,))], "$.rules[0].match.first_choice[0]: from 0"),
        ([rule(Weigh(0.0, (1,)))], "$.rules[0].effect.factor: from 0.01 to 100, not 0"),
        ([rule(Cap(1.5, (1,)))], "$.rules[0].effect.share: from 0 to 1, not 1.5"),
        ([rule(Spill(()))], "$.rules[0].effect.zones: an order of at least one zone"),
        ([rule(Only((5,)))], "effect.cells: leave the class 'save-answers' no cell that it may use"),
        ([rule(Prefer(tuple(range(MOST_NAMES + 1))))], f"{MOST_NAMES} at most"),
        ([rule(Prefer((1,)), f"r{at}") for at in range(MAX_RULES + 1)], f"{MAX_RULES} at most"),
        ([rule(Cap(0.5, (1,)), f"r{at}") for at in range(MOST_CAPS + 1)], f"{MOST_CAPS} at most"),
        ([rule(Prefer((1,)), f"r{at}", first_choice=tuple(range(60 * at, 60 * at + 60))) for at in range(5)],
         f"{MOST_CHOICES} at most"),
    ],
)  # fmt: skip
def test_each_fault_is_told_with_its_path(made: list[Rule], told: str) -> None:
    found = find_errors(RuleSet(rules=tuple(made)), KNOWN)
    assert any(told in line for line in found), found
    assert all(line.startswith("$.rules") for line in found), "each line begins with its path"


def test_all_faults_are_told_and_sound_rules_have_none() -> None:
    two = RuleSet(rules=(rule(Weigh(0.0, ()), "a b"), rule(Prefer((1,)), tenant=("nour",))))
    assert len(find_errors(two, KNOWN)) == 3
    assert find_errors(RuleSet(rules=(rule(Only((0, 5))),)), KNOWN) == []


def test_a_version_is_its_rules_whatever_their_spelling() -> None:
    first = RuleSet(rules=(rule(Weigh(2.0, (1,))),))
    again = read_rules(canonical(first), version_of(first))
    assert again == first and len(version_of(first)) == 32
    assert version_of(RuleSet(rules=(rule(Weigh(2.5, (1,))),))) != version_of(first)
    assert read_rules(canonical(first).replace(b"2", b"3", 1), version_of(first)) is None
    assert read_rules(b"{", version_of(first)) is None and version_of(RuleSet()) == "none"


# --- the module under routes --------------------------------------------------------------------------------
CLASSES = (
    api.CallClass(2_000_000, 9_000_000, 1.0, 0.2),
    api.CallClass(1_500_000, 9_000_000, 3.0, 0.5, cells=(0, 1)),
)
SETTINGS = api.Settings(
    classes=CLASSES, tenants=(), over_share_worth=0.0, fleet_size=1, answer_slack_us=20_000, cold_share=0.34,
    warm_after_us=14_000_000, fall_multiple=2.0, fall_us=1_500_000, release_us=300_000, max_attempts=4,
    may_cancel=True,
)  # fmt: skip
cells = st.frozensets(st.integers(0, 4), max_size=5)
routes = st.builds(
    Route, st.none() | cells, cells, st.dictionaries(st.integers(0, 4), st.integers(0, 3)), st.integers(0, 3),
    st.dictionaries(st.integers(0, 4), st.floats(0.01, 100)),
)  # fmt: skip


@settings(deadline=None, max_examples=60)
@given(st.lists(st.none() | routes, min_size=1, max_size=30), st.integers(0, 1 << 30))
def test_a_route_opens_nothing_that_class_list_or_gate_forbids(told: list[Route | None], seed: int) -> None:
    """Each set-up goes where its class may, where its route leaves it, to a server that takes new ones."""
    random, controller = Random(seed), Controller(SETTINGS, seed)
    states = [random.choice((PoolState.READY, PoolState.READY, PoolState.DRAINING)) for _ in range(5)]
    entries = tuple(PoolEntry(f"s-{cell}", cell, state) for cell, state in enumerate(states))
    controller.handle(0, api.PoolList(ListKind.CACHED, entries))
    now = 0
    for at, route in enumerate(told):
        now += random.randrange(1, 50_000)
        kind = random.randrange(2)
        arrived = api.CallArrived(f"{at:016x}", kind, -1, 3_000_000, random.randrange(-1, 5), route=route)
        for action in controller.handle(now, arrived):
            if isinstance(action, api.SendSetUp) and action.call == arrived.call:
                cell = int(action.server[2:])
                assert states[cell] is PoolState.READY
                assert not CLASSES[kind].cells or cell in CLASSES[kind].cells
                if route is not None:
                    assert cell not in route.closed_cells and (
                        route.allowed_cells is None or cell in route.allowed_cells
                    )


def ready(*states: PoolState) -> Controller:
    controller = Controller(SETTINGS, 1)
    entries = tuple(PoolEntry(f"s-{cell}", cell, state) for cell, state in enumerate(states))
    controller.handle(0, api.PoolList(ListKind.CACHED, entries))
    return controller


def sent(controller: Controller, route: Route | None, choice: int = -1, calls: int = 1) -> list[str]:
    found = []
    for at, now in zip(range(calls), itertools.count(1_000, 1_000), strict=False):
        for action in controller.handle(
            now, api.CallArrived(f"{at:016x}", 0, -1, 3_000_000, choice, route=route)
        ):
            if isinstance(action, api.SendSetUp):
                found.append(action.server)
            elif isinstance(action, api.Refuse):
                found.append("refused")
    return found


def test_tiers_go_before_the_first_choice_and_only_among_open_gates() -> None:
    three = [PoolState.READY] * 3
    assert sent(ready(*three), None, choice=1) == ["s-1"]
    assert sent(ready(*three), Route(tiers={2: FIRST}, default_tier=OTHERS), choice=1) == ["s-2"]
    assert sent(
        ready(PoolState.READY, PoolState.READY, PoolState.DRAINING),
        Route(tiers={2: FIRST}, default_tier=OTHERS),
        1,
    ) == ["s-1"]
    assert sent(ready(*three), Route(tiers={1: LAST}, default_tier=OTHERS), choice=1) != ["s-1"]


def test_a_call_that_rules_leave_nothing_is_refused_at_once() -> None:
    three = [PoolState.READY] * 3
    assert sent(ready(*three), Route(allowed_cells=frozenset({9}))) == ["refused"]
    assert sent(ready(*three), Route(closed_cells=frozenset({0, 1, 2}))) == ["refused"]


def test_a_held_call_that_its_rules_leave_little_holds_up_nobody_behind_it() -> None:
    """The first in the line waits for a server that is full; once another has room, those behind it go."""
    controller, now = ready(PoolState.READY, PoolState.READY), 0
    out: dict[str, list[str]] = {"s-0": [], "s-1": []}
    for cell in (0, 1):
        for at in range(200):
            now, name = now + 10, f"{cell}{at:015x}"
            route = Route(allowed_cells=frozenset({cell}))
            found = controller.handle(now, api.CallArrived(name, 0, -1, 3_000_000, -1, route=route))
            went = [one for one in found if isinstance(one, api.SendSetUp)]
            assert all(one.server == f"s-{cell}" for one in went)
            out[f"s-{cell}"] += [one.call for one in went]
            if not went and not any(isinstance(one, api.Refuse) for one in found):
                break
        else:
            raise AssertionError("no call was held")
    after: list[api.Action] = []
    for call in out["s-1"]:
        now += 10
        after += controller.handle(now, api.CallStands(call, 0, "s-1", 5_000))
    assert any(isinstance(one, api.SendSetUp) and one.server == "s-1" for one in after)


def test_a_gate_that_is_shut_allows_nothing() -> None:
    """Guards against work that begins on the capacity of servers that serve nobody."""
    controller = ready(PoolState.READY, PoolState.READY, PoolState.DRAINING)
    open_gates = controller.limits
    assert set(open_gates) == {"s-0", "s-1"} and min(open_gates.values()) > 0
    sent(controller, Route(allowed_cells=frozenset({0})))
    lost = api.AttemptEnded(f"{0:016x}", 0, "s-0", api.Ending.UNREACHABLE, 1_000)
    controller.handle(2_000, lost)
    assert controller.limits["s-0"] == 0.0 and controller.limits["s-1"] > 0
