"""The routing table and the validation of rules: each effect, bounded cost, and the limits of a route.

The decision module must not follow a route beyond what call class, pool list and gates allow.
"""

from __future__ import annotations

import itertools
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pearloom import interface as api
from pearloom.interface import ListKind, PoolEntry, PoolState, Route
from pearloom.policy import Controller
from pearloom.rules.check import MAX_FIRST_CHOICES, KnownNames, find_errors
from pearloom.rules.records import (
    MAX_CAPS,
    MAX_NAMES,
    MAX_RULES,
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
    decode_rules,
    version_of,
)
from pearloom.rules.table import (
    TIER_AVOIDED,
    TIER_DEFAULT,
    TIER_FIRST_CHOICE,
    TIER_PREFERRED,
    TIER_SPILL,
    LocalContext,
    RoutingTable,
)

CONTEXT = LocalContext(
    ("open-form", "save-answers"), ("nour", "sahel"), "amsterdam",
    {"amsterdam": frozenset({0, 1}), "dublin": frozenset({2}), "lyon": frozenset({3})},
)  # fmt: skip
KNOWN_NAMES = KnownNames(CONTEXT.classes, CONTEXT.tenants, ("amsterdam", "dublin", "lyon"), ((), (0, 1)))


def table(*effects: Effect, match: Match | None = None) -> RoutingTable:
    rules = tuple(Rule(f"r{index}", effect, match or Match()) for index, effect in enumerate(effects))
    return RoutingTable("v", RuleSet(rules=rules), CONTEXT)


def test_without_a_matching_rule_there_is_no_route() -> None:
    assert table().route(0, -1, 2) is None
    elsewhere = table(Only(cells=(1,)), match=Match(zone=("dublin",)))
    assert elsewhere.route(0, -1, 2) is None, "the rule is for dublin, this softswitch is in amsterdam"


@pytest.mark.parametrize(
    ("effect", "route"),
    [
        (Prefer((1,)), Route(tiers={1: TIER_PREFERRED}, default_tier=TIER_DEFAULT)),
        (Prefer(zones=("dublin",)), Route(tiers={2: TIER_PREFERRED}, default_tier=TIER_DEFAULT)),
        (Avoid((1,)), Route(tiers={1: TIER_AVOIDED}, default_tier=TIER_DEFAULT)),
        (Only((1, 2)), Route(allowed_cells=frozenset({1, 2}), default_tier=TIER_DEFAULT)),
        (Weigh(2.0, (1,)), Route(default_tier=TIER_DEFAULT, weights={1: 2.0})),
        (
            Spill(("dublin", "lyon")),
            Route(tiers={2: TIER_SPILL, 3: TIER_SPILL + 1}, default_tier=TIER_DEFAULT),
        ),
    ],
)
def test_each_effect_gives_its_route(effect: Effect, route: Route) -> None:
    assert table(effect).route(0, -1, -1) == route


def test_a_rule_matches_only_if_all_its_conditions_hold() -> None:
    narrow = table(Only((1,)), match=Match(("save-answers",), ("sahel",), (2,), ("amsterdam",)))
    assert narrow.route(1, 1, 2) is not None
    for class_index, tenant, choice in ((0, 1, 2), (1, 0, 2), (1, -1, 2), (1, 1, 1), (1, 1, -1)):
        assert narrow.route(class_index, tenant, choice) is None


def test_the_first_rule_ranks_a_cell_and_further_only_rules_narrow() -> None:
    combined = table(
        Prefer((1,)), Avoid((1, 2)), Only((1, 2)), Only((2, 3)), Weigh(2.0, (1,)), Weigh(3.0, (1,))
    )
    route = combined.route(0, -1, -1)
    assert route is not None
    assert (
        route.tiers == {1: TIER_PREFERRED, 2: TIER_AVOIDED}
        and route.allowed_cells == frozenset({2})
        and route.weights == {1: 6.0}
    )


def test_spill_keeps_a_call_at_its_own_first_choice() -> None:
    route = table(Spill(("dublin",))).route(0, -1, 3)
    assert route is not None and route.tiers == {3: TIER_FIRST_CHOICE, 2: TIER_SPILL}


@given(st.floats(0, 1), st.integers(1, 300))
def test_a_cap_holds_from_the_first_call_on(share: float, calls: int) -> None:
    capped = table(Cap(share, (1,)))
    allowed = 0
    for call in range(1, calls + 1):
        route = capped.route(0, -1, -1)
        allowed += route is None
        assert allowed <= share * call
    assert allowed >= share * calls - 1.0 - 1e-6


def test_cached_plans_are_bounded() -> None:
    """Guards against memory growth by first choices that callers invent."""
    preferring = table(Prefer((1,)), match=Match(first_choice=(7,)))
    for choice in range(-1, 5_000):
        preferring.route(0, -1, choice)
    assert len(preferring._plans) == 2


def rule(effect: Effect, name: str = "r", **match: tuple[str, ...] | tuple[int, ...]) -> Rule:
    return Rule(name, effect, Match(**match))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("rules", "message"),
    [
        ([rule(Prefer())], "$.rules[0].effect: names neither cells nor zones"),
        ([rule(Prefer((1,)), "a b")], "$.rules[0].name: has to be 1 to 64"),
        ([rule(Prefer((1,))), rule(Prefer((2,)))], "$.rules[1].name: 'r' is the name of more than one rule"),
        ([rule(Prefer((70_000,)))], "$.rules[0].effect.cells[0]: from 0 to 65535, not 70000"),
        ([rule(Prefer(zones=("lyons",)))], "effect.zones[0]: no zone 'lyons'; did you mean 'lyon'?"),
        ([rule(Prefer((1,)), classes=("open",))], "$.rules[0].match.class[0]: no class 'open'"),
        ([rule(Prefer((1,)), tenant=("x",))], "match.tenant[0]: no tenant 'x'; known: nour, sahel"),
        ([rule(Prefer((1,)), first_choice=(-2,))], "$.rules[0].match.first_choice[0]: from 0"),
        ([rule(Weigh(0.0, (1,)))], "$.rules[0].effect.factor: from 0.01 to 100, not 0"),
        ([rule(Cap(1.5, (1,)))], "$.rules[0].effect.share: from 0 to 1, not 1.5"),
        ([rule(Spill(()))], "$.rules[0].effect.zones: has to list at least one zone"),
        ([rule(Only((5,)))], "effect.cells: leave the class 'save-answers' no cell that it may use"),
        ([rule(Prefer(tuple(range(MAX_NAMES + 1))))], f"{MAX_NAMES} at most"),
        ([rule(Prefer((1,)), f"r{index}") for index in range(MAX_RULES + 1)], f"{MAX_RULES} at most"),
        ([rule(Cap(0.5, (1,)), f"r{index}") for index in range(MAX_CAPS + 1)], f"{MAX_CAPS} at most"),
        ([rule(Prefer((1,)), f"r{index}", first_choice=tuple(range(60 * index, 60 * index + 60)))
          for index in range(5)],
         f"{MAX_FIRST_CHOICES} at most"),
    ],
)  # fmt: skip
def test_each_error_is_reported_with_its_path(rules: list[Rule], message: str) -> None:
    errors = find_errors(RuleSet(rules=tuple(rules)), KNOWN_NAMES)
    assert any(message in line for line in errors), errors
    assert all(line.startswith("$.rules") for line in errors), "each line begins with its path"


def test_all_errors_are_reported_and_valid_rules_have_none() -> None:
    invalid = RuleSet(rules=(rule(Weigh(0.0, ()), "a b"), rule(Prefer((1,)), tenant=("nour",))))
    assert len(find_errors(invalid, KNOWN_NAMES)) == 3
    assert find_errors(RuleSet(rules=(rule(Only((0, 5))),)), KNOWN_NAMES) == []


def test_a_version_name_depends_only_on_the_rules() -> None:
    first = RuleSet(rules=(rule(Weigh(2.0, (1,))),))
    decoded = decode_rules(canonical(first), version_of(first))
    assert decoded == first and len(version_of(first)) == 32
    assert version_of(RuleSet(rules=(rule(Weigh(2.5, (1,))),))) != version_of(first)
    assert decode_rules(canonical(first).replace(b"2", b"3", 1), version_of(first)) is None
    assert decode_rules(b"{", version_of(first)) is None and version_of(RuleSet()) == "none"


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
def test_a_route_never_overrides_class_pool_list_or_gate(routes_drawn: list[Route | None], seed: int) -> None:
    """Each set-up goes to a ready server in a cell that both its class and its route allow."""
    random, controller = Random(seed), Controller(SETTINGS, seed)
    states = [random.choice((PoolState.READY, PoolState.READY, PoolState.DRAINING)) for _ in range(5)]
    entries = tuple(PoolEntry(f"s-{cell}", cell, state) for cell, state in enumerate(states))
    controller.handle(0, api.PoolList(ListKind.CACHED, entries))
    now = 0
    for index, route in enumerate(routes_drawn):
        now += random.randrange(1, 50_000)
        class_index = random.randrange(2)
        arrived = api.CallArrived(
            f"{index:016x}", class_index, -1, 3_000_000, random.randrange(-1, 5), route=route
        )
        for action in controller.handle(now, arrived):
            if isinstance(action, api.SendSetUp) and action.call == arrived.call:
                cell = int(action.server[2:])
                assert states[cell] is PoolState.READY
                assert not CLASSES[class_index].cells or cell in CLASSES[class_index].cells
                if route is not None:
                    assert cell not in route.closed_cells and (
                        route.allowed_cells is None or cell in route.allowed_cells
                    )


def controller_with(*states: PoolState) -> Controller:
    controller = Controller(SETTINGS, 1)
    entries = tuple(PoolEntry(f"s-{cell}", cell, state) for cell, state in enumerate(states))
    controller.handle(0, api.PoolList(ListKind.CACHED, entries))
    return controller


def place_calls(controller: Controller, route: Route | None, choice: int = -1, calls: int = 1) -> list[str]:
    outcomes = []
    for index, now in zip(range(calls), itertools.count(1_000, 1_000), strict=False):
        for action in controller.handle(
            now, api.CallArrived(f"{index:016x}", 0, -1, 3_000_000, choice, route=route)
        ):
            if isinstance(action, api.SendSetUp):
                outcomes.append(action.server)
            elif isinstance(action, api.Refuse):
                outcomes.append("refused")
    return outcomes


def test_tiers_rank_above_the_first_choice_among_open_gates() -> None:
    three_ready = [PoolState.READY] * 3
    assert place_calls(controller_with(*three_ready), None, choice=1) == ["s-1"]
    assert place_calls(
        controller_with(*three_ready), Route(tiers={2: TIER_PREFERRED}, default_tier=TIER_DEFAULT), choice=1
    ) == ["s-2"]
    assert place_calls(
        controller_with(PoolState.READY, PoolState.READY, PoolState.DRAINING),
        Route(tiers={2: TIER_PREFERRED}, default_tier=TIER_DEFAULT),
        1,
    ) == ["s-1"]
    assert place_calls(
        controller_with(*three_ready), Route(tiers={1: TIER_AVOIDED}, default_tier=TIER_DEFAULT), choice=1
    ) != ["s-1"]


def test_a_call_without_an_allowed_cell_is_refused_at_once() -> None:
    three_ready = [PoolState.READY] * 3
    assert place_calls(controller_with(*three_ready), Route(allowed_cells=frozenset({9}))) == ["refused"]
    assert place_calls(controller_with(*three_ready), Route(closed_cells=frozenset({0, 1, 2}))) == ["refused"]


def test_a_held_call_restricted_by_its_rules_does_not_block_calls_behind_it() -> None:
    """The first held call needs a full server; calls behind it that may use another server go ahead."""
    controller, now = controller_with(PoolState.READY, PoolState.READY), 0
    sent_calls: dict[str, list[str]] = {"s-0": [], "s-1": []}
    for cell in (0, 1):
        for index in range(200):
            now, call_id = now + 10, f"{cell}{index:015x}"
            route = Route(allowed_cells=frozenset({cell}))
            actions = controller.handle(now, api.CallArrived(call_id, 0, -1, 3_000_000, -1, route=route))
            set_ups = [action for action in actions if isinstance(action, api.SendSetUp)]
            assert all(action.server == f"s-{cell}" for action in set_ups)
            sent_calls[f"s-{cell}"] += [action.call for action in set_ups]
            if not set_ups and not any(isinstance(action, api.Refuse) for action in actions):
                break
        else:
            raise AssertionError("no call was held")
    later_actions: list[api.Action] = []
    for call in sent_calls["s-1"]:
        now += 10
        later_actions += controller.handle(now, api.CallStands(call, 0, "s-1", 5_000))
    assert any(isinstance(action, api.SendSetUp) and action.server == "s-1" for action in later_actions)


def test_a_closed_gate_has_limit_zero() -> None:
    """Guards against maintenance that counts on the capacity of servers that take no calls."""
    controller = controller_with(PoolState.READY, PoolState.READY, PoolState.DRAINING)
    open_limits = controller.limits
    assert set(open_limits) == {"s-0", "s-1"} and min(open_limits.values()) > 0
    place_calls(controller, Route(allowed_cells=frozenset({0})))
    unreachable = api.AttemptEnded(f"{0:016x}", 0, "s-0", api.Ending.UNREACHABLE, 1_000)
    controller.handle(2_000, unreachable)
    assert controller.limits["s-0"] == 0.0 and controller.limits["s-1"] > 0
