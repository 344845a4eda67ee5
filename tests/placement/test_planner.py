"""Check the plan on random fleets: bounds, versions and convergence."""

from __future__ import annotations

from collections import Counter

import attrs
from hypothesis import given, settings, strategies as st

from basilroad.placement.plan import Action, EngineReport, Plan, PlanningInput
from basilroad.placement.planner import make_plan
from basilroad.world.loaded import Loaded
from basilroad.world.model import Model, ReplicaBounds

REGIONS = ("riga", "kurzeme")
NAMES = ("bung", "spec", "taper")
ROUNDS = 60


def make_engine(number: int, loaded: Loaded | None = None, **fields: object) -> EngineReport:
    base = EngineReport(
        endpoint=f"e{number:02}",
        host=f"h{number:02}",
        region="riga",
        data_centre=f"riga-{'ab'[number % 2]}",
        loaded=loaded,
        ready=loaded is not None,
    )
    return attrs.evolve(base, **fields)  # type: ignore[arg-type]


def make_model(name: str, minimum: int, maximum: int = 0, *versions: str) -> Model:
    bounds = ReplicaBounds(min=minimum, max=maximum)
    return Model(name=name, versions=versions or ("1",), replicas={"riga": bounds})


def make_planning_input(*parts: Model | EngineReport, **waiting: int) -> PlanningInput:
    models = {part.name: part for part in parts if isinstance(part, Model)}
    engines = tuple(part for part in parts if isinstance(part, EngineReport))
    return PlanningInput(models, engines, {(name, "riga"): n for name, n in waiting.items()})


bounds = st.tuples(st.integers(0, 4), st.integers(0, 4)).map(
    lambda pair: ReplicaBounds(min=min(pair) if pair[1] else pair[0], max=pair[1] and max(pair))
)
models = st.builds(
    lambda name, adapter, versions, replicas: Model(
        name=name, adapter=adapter, versions=versions, replicas=replicas
    ),
    st.sampled_from(NAMES),
    st.sampled_from(("", "oak")),
    st.lists(st.sampled_from("123"), unique=True, max_size=2).map(tuple),
    st.dictionaries(st.sampled_from(REGIONS), bounds),
)
loads = st.none() | st.builds(
    Loaded, st.sampled_from((*NAMES, "other")), st.sampled_from(("", "oak")), st.sampled_from("123")
)
settled = st.builds(
    make_engine,
    st.integers(0, 15),
    loads,
    region=st.sampled_from(REGIONS),
    running=st.integers(0, 16),
    draining=st.booleans(),
    accepts_commands=st.sampled_from((True, True, True, False)),
)
commanded = st.builds(
    lambda engine, pending: attrs.evolve(engine, pending=pending, ready=pending is None),
    settled.filter(lambda engine: engine.loaded is not None),
    loads,
)
engines = settled | commanded
planning_inputs = st.builds(
    lambda found, fleet, waiting: PlanningInput({m.name: m for m in found}, tuple(fleet), waiting),
    st.lists(models, max_size=3, unique_by=lambda m: m.name),
    st.lists(engines, max_size=14, unique_by=lambda e: e.endpoint),
    st.dictionaries(st.tuples(st.sampled_from(NAMES), st.sampled_from(REGIONS)), st.integers(1, 9)),
)


def apply_commands(planning_input: PlanningInput, plan: Plan) -> PlanningInput:
    targets = {change.endpoint: change for change in plan.changes}
    changed = [
        (
            attrs.evolve(
                engine,
                pending=targets[engine.endpoint].target,
                loaded=None if targets[engine.endpoint].target is None else engine.loaded,
                ready=False,
            )
            if engine.endpoint in targets
            else engine
        )
        for engine in planning_input.engines
    ]
    return attrs.evolve(planning_input, engines=tuple(changed))


def finish(planning_input: PlanningInput) -> PlanningInput:
    done = [
        (
            attrs.evolve(engine, loaded=engine.pending, pending=None, ready=True, running=0)
            if engine.pending is not None
            else engine
        )
        for engine in planning_input.engines
    ]
    return attrs.evolve(planning_input, engines=tuple(done))


def count_ready(planning_input: PlanningInput) -> Counter[tuple[str, str]]:
    return Counter(
        (engine.loaded.model, engine.region)
        for engine in planning_input.engines
        if engine.ready and engine.loaded and not engine.draining
    )


def count_assigned(planning_input: PlanningInput) -> Counter[tuple[str, str]]:
    found = ((e.assigned, e.region) for e in planning_input.engines if not e.draining)
    return Counter((held.model, region) for held, region in found if held is not None)


def list_bounds(planning_input: PlanningInput) -> list[tuple[tuple[str, str], ReplicaBounds]]:
    return [
        ((model.name, region), each)
        for model in planning_input.models.values()
        for region, each in model.replicas.items()
    ]


def check_step(planning_input: PlanningInput, plan: Plan) -> None:
    after = apply_commands(planning_input, plan)
    for key, each in list_bounds(planning_input):
        assert count_ready(after)[key] >= min(each.min, count_ready(planning_input)[key])
        if each.max:
            assert count_assigned(after)[key] <= max(each.max, count_assigned(planning_input)[key])
    engines_by_name = {engine.endpoint: engine for engine in planning_input.engines}
    for change in plan.changes:
        engine = engines_by_name[change.endpoint]
        assert engine.is_settled or engine.is_retargetable
        assert not engine.draining
        assert change.target != engine.assigned
        if engine.is_settled and engine.loaded is not None:
            assert planning_input.bounds(engine.loaded.model, engine.region) is not None


@settings(max_examples=400, deadline=None)
@given(planning_inputs)
def test_plan_keeps_the_bounds_and_converges(planning_input: PlanningInput) -> None:
    seen: set[tuple[EngineReport, ...]] = set()
    for _ in range(ROUNDS):
        plan = make_plan(planning_input)
        assert plan == make_plan(planning_input)
        check_step(planning_input, plan)
        in_progress = apply_commands(planning_input, plan)
        # a pending command is neither repeated nor replaced
        assert not {c.endpoint for c in make_plan(in_progress).changes} & {
            c.endpoint for c in plan.changes if c.target is not None
        }
        if not plan.changes:
            return
        planning_input = finish(in_progress)
        assert planning_input.engines not in seen, "oscillates"
        seen.add(planning_input.engines)
    raise AssertionError("does not converge")


@settings(max_examples=200, deadline=None)
@given(planning_inputs)
def test_reachable_targets_are_reached(planning_input: PlanningInput) -> None:
    free = [attrs.evolve(e, accepts_commands=True, draining=False) for e in planning_input.engines]
    numbers = range(4 * len(NAMES))
    spare = [make_engine(100 + n, region="riga") for n in numbers]
    spare += [make_engine(200 + n, region="kurzeme") for n in numbers]
    planning_input = attrs.evolve(planning_input, engines=(*free, *spare), waiting={})
    for _ in range(ROUNDS):
        planning_input = finish(apply_commands(planning_input, make_plan(planning_input)))
    held = count_assigned(planning_input)
    for key, each in list_bounds(planning_input):
        model = planning_input.models[key[0]]
        if model.versions:
            assert held[key] >= each.min
        assert not each.max or held[key] <= each.max
    for shortage in make_plan(planning_input).shortages:
        model = planning_input.models[shortage.model]
        minimum = model.replicas[shortage.region].min
        assert not model.versions or minimum == model.replicas[shortage.region].max


def test_version_rollout_keeps_the_minimum_serving() -> None:
    fleet = [make_engine(n, Loaded("spec", "", "1")) for n in range(4)]
    planning_input = make_planning_input(make_model("spec", 3, 4, "2", "1"), *fleet)
    steps = 0
    while (plan := make_plan(planning_input)).changes:
        assert len(plan.changes) == 1
        in_progress = apply_commands(planning_input, plan)
        assert count_ready(in_progress)["spec", "riga"] == 3
        assert not make_plan(in_progress).changes
        planning_input = finish(in_progress)
        steps += 1
    assert steps == 4
    assert {e.loaded for e in planning_input.engines} == {Loaded("spec", "", "2")}


def test_rollout_without_a_spare_replica_uses_an_empty_engine_or_reports_a_shortage() -> None:
    fleet = [make_engine(n, Loaded("spec", "", "1")) for n in range(2)]
    tight = make_planning_input(make_model("spec", 2, 2, "2"), *fleet, make_engine(2))
    assert not make_plan(tight).changes
    assert "no replica" in make_plan(tight).shortages[0].reason
    wide = make_planning_input(make_model("spec", 2, 3, "2"), *fleet, make_engine(2))
    assert [c.endpoint for c in make_plan(wide).changes] == ["e02"]


def test_replicas_spread_over_data_centres_and_hosts() -> None:
    fleet = [make_engine(n, host=f"h{n // 4}") for n in range(8)]
    plan = make_plan(make_planning_input(make_model("spec", 4), *fleet))
    assert Counter(c.data_centre for c in plan.changes) == {"riga-a": 2, "riga-b": 2}
    hosts = Counter(int(c.endpoint[1:]) // 4 for c in plan.changes)
    assert hosts == {0: 2, 1: 2}


def test_scarce_engines_go_to_the_largest_shortfall_first() -> None:
    fleet = [make_engine(n) for n in range(4)]
    plan = make_plan(make_planning_input(make_model("spec", 4), make_model("bung", 2), *fleet))
    loads_by_model = Counter(c.target.model for c in plan.changes if c.target)
    assert loads_by_model == {"spec": 3, "bung": 1}
    assert {s.model for s in plan.shortages} == {"spec", "bung"}


def test_capacity_moves_to_a_model_with_queued_requests_but_not_from_a_busy_one() -> None:
    spec = [make_engine(n, Loaded("spec", "", "1"), running=2) for n in range(3)]
    bung = [make_engine(n, Loaded("bung", "", "1"), running=16) for n in (3, 4)]
    wanted = (make_model("spec", 1), make_model("bung", 1))
    plan = make_plan(make_planning_input(*wanted, *spec, *bung, bung=5))
    assert [(c.endpoint, c.target) for c in plan.changes] == [("e00", Loaded("bung", "", "1"))]
    assert not make_plan(make_planning_input(*wanted, *spec, *bung, spec=1, bung=5)).changes
    busy = [attrs.evolve(engine, running=14) for engine in spec]
    assert not make_plan(make_planning_input(*wanted, *busy, *bung, bung=5)).changes


def test_excess_is_unloaded_and_models_without_settings_are_not_touched() -> None:
    fleet = [make_engine(n, Loaded("spec", "", "1")) for n in range(3)]
    unmanaged = make_engine(9, Loaded("other", "", "7"))
    plan = make_plan(make_planning_input(make_model("spec", 1, 2), *fleet, unmanaged))
    assert [(c.action, c.target) for c in plan.changes] == [(Action.UNLOAD, None)]
    assert not make_plan(make_planning_input(make_model("bung", 1), unmanaged)).changes


def test_excess_replica_changes_its_version_before_the_old_ones_are_unloaded() -> None:
    fleet = [make_engine(n, Loaded("spec", "", "1")) for n in range(2)]
    planning_input = make_planning_input(make_model("spec", 1, 1, "2"), *fleet)
    actions = []
    while (plan := make_plan(planning_input)).changes:
        actions += [change.action for change in plan.changes]
        planning_input = finish(apply_commands(planning_input, plan))
    assert actions == [Action.LOAD, Action.UNLOAD]
    assert [e.loaded for e in planning_input.engines if e.loaded] == [Loaded("spec", "", "2")]


def test_queued_command_is_replaced_by_a_newer_version() -> None:
    queued = make_engine(0, Loaded("spec", "", "1"), ready=False, pending=Loaded("spec", "", "2"))
    loading = make_engine(1, Loaded("spec", "", "2"), ready=False, pending=Loaded("spec", "", "2"))
    serving = [make_engine(n, Loaded("spec", "", "1")) for n in (2, 3)]
    for version in ("1", "3"):
        model = make_model("spec", 2, 0, version)
        plan = make_plan(make_planning_input(model, queued, loading, *serving))
        targets = [(c.endpoint, c.target) for c in plan.changes]
        assert targets == [("e00", Loaded("spec", "", version))]


def test_loading_replica_does_not_count_as_serving() -> None:
    spec = [make_engine(n, Loaded("spec", "", "1")) for n in range(2)]
    target = Loaded("spec", "", "1")
    loading = make_engine(2, target, ready=False, pending=target)
    for model in (make_model("spec", 2), make_model("spec", 2, 2)):
        plan = make_plan(make_planning_input(model, make_model("bung", 1), *spec, loading))
        assert not plan.changes
        assert [s.model for s in plan.shortages] == ["bung"]
