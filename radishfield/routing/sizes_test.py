"""Tests of routing decisions for fleets, models and routes of very different sizes."""

from dataclasses import dataclass, field

import pytest
from msgspec.structs import replace

from radishfield.routing import (
    Accelerator,
    AdmissionQueue,
    Ask,
    Demand,
    GiveUp,
    LoadTable,
    PathFinder,
    RouteKind,
    RouteRule,
    ServiceShare,
    StreamSilence,
    Wait,
    covers_once,
    next_step,
    plan_layout,
    plan_move,
    targets_to_probe,
)
from radishfield.routing.conftest import ACCELERATOR_BY_NAME, make_engine, make_target


@dataclass(slots=True, frozen=True)
class Size:
    """A fleet: its accelerators in each zone, its model and its requests."""

    name: str
    zones: int
    count_by_kind: dict[str, int]
    accelerator_by_kind: dict[str, Accelerator] = field(
        default_factory=lambda: ACCELERATOR_BY_NAME
    )
    engine: dict = field(default_factory=dict)
    demand: Demand = Demand(774, 203)
    min_admitted: int = 20


TWENTY_FOLD = {
    "fast": Accelerator("fast", 80000.0, 1.0, 1.0),
    "slow": Accelerator("slow", 24000.0, 20.0, 20.0),
}
ONE_KIND = {"only": Accelerator("only", 48000.0, 3.0, 3.0)}
SMALL_MODEL = {"layers": 32, "layer_mb": 400.0, "cache_bytes_per_token": 131072.0}
SIZES = [
    Size("one kind of card", 3, {"only": 8}, ONE_KIND),
    Size("cards that differ twenty-fold", 3, {"fast": 3, "slow": 6}, TWENTY_FOLD),
    Size("eight zones", 8, {"a100": 1, "l40s": 4, "l4": 5}),
    Size("one zone", 1, {"a100": 2, "l40s": 4, "l4": 4}),
    Size("three targets", 1, {"l40s": 3}, engine=SMALL_MODEL),
    Size("three hundred targets", 6, {"a100": 5, "l40s": 15, "l4": 30}),
    # The first target of a path takes 96 requests, however small they are.
    Size("short prompts", 3, {"l40s": 8}, demand=Demand(30, 20), min_admitted=288),
    Size("long prompts", 3, {"l40s": 8}, demand=Demand(6000, 500), min_admitted=10),
]


@pytest.mark.parametrize("size", SIZES, ids=lambda size: size.name)
def test_a_fleet_of_any_size_is_laid_out_and_carries_requests(size):
    """Each zone's accelerators together hold at least one copy of the model.

    All targets get layers within their memory, every zone has a path from the first
    request to as many as its memory holds, and no target moves without need.
    """
    engine = make_engine(
        accelerator_by_name=size.accelerator_by_kind, delay_ms_by_pair={}, **size.engine
    )
    empty = [
        make_target(f"{zone}-{kind}-{index}", f"z{zone}", kind)
        for zone in range(size.zones)
        for kind, count in size.count_by_kind.items()
        for index in range(count)
    ]
    plan = plan_layout(engine, empty)
    assert len(plan) == len(empty)
    for item in plan:
        accelerator = size.accelerator_by_kind[item.target.accelerator]
        assert len(item.span) * engine.layer_mb < accelerator.memory_mb
    records = [replace(item.target, span=item.span) for item in plan]
    assert plan_move(engine, records) is None
    load, admitted = LoadTable(), 0
    while admitted < size.min_admitted:
        zone = f"z{admitted % size.zones}"
        path = PathFinder(engine, load, zone).find(records, size.demand)
        assert path is not None and covers_once(path, engine.layers)
        for index, part in enumerate(path):
            token_layers = size.demand.tokens * len(part.span)
            load.started(part.target_id, token_layers, index == 0)
        admitted += 1


def route(objective_s, gap_s):
    return RouteRule(
        name="r",
        host="h",
        path_prefix="/",
        kind=RouteKind.STREAM,
        timeout_s=60.0,
        objective_s=objective_s,
        priority=1,
        shares=(ServiceShare("pool", 1.0),),
        max_attempts=2,
        resumable=True,
        longest_gap_s=gap_s,
    )


@pytest.mark.parametrize("objective_s", [0.06, 0.5, 5.0])
@pytest.mark.parametrize("gap_s", [0.05, 0.2, 2.0])
@pytest.mark.parametrize("has_events", [False, True])
def test_a_silent_stream_is_probed_then_queried_then_abandoned(
    objective_s, gap_s, has_events
):
    """Whatever the route's times are, each step comes before the next, and in time.

    The targets are probed while the answer can still be on time, and the stream
    continues on another path before its caller leaves.
    """
    rule = route(objective_s, gap_s)
    allowed_s = gap_s if has_events else objective_s
    steps = []
    for tick in range(1, 3000):
        silent_s = tick * 0.01
        stream = StreamSilence(
            ("a",), silent_s, has_events, 0.0, allowed_s, rule.caller_patience_s, 0.2
        )
        if targets_to_probe([stream]) and "probe" not in steps:
            steps.append("probe")
            assert silent_s <= 0.5 * allowed_s + 0.01
        match next_step(stream, queried_ago_s=9.0, may_resume=True):
            case Ask() if "ask" not in steps:
                steps.append("ask")
            case GiveUp():
                assert silent_s < rule.caller_patience_s
                break
    assert steps == ["probe", "ask"]


@pytest.mark.parametrize("has_events", [False, True])
def test_streams_of_a_route_without_times_are_not_probed(has_events):
    """An operator does not configure how long an event may take.

    If that counted as zero, the targets of every stream would be probed constantly.
    """
    allowed_s = route(0.0, 0.0).allowed_silence_s(has_events)
    for silent_s in (0.001, 0.05):
        stream = StreamSilence(("a",), silent_s, has_events, 0.0, allowed_s, 2.0, 0.2)
        assert targets_to_probe([stream]) == set()
        assert next_step(stream, 9.0, True) == Wait()


@pytest.mark.parametrize("objective_s", [0.06, 0.5, 5.0])
def test_no_request_waits_beyond_the_caller_timeout(objective_s):
    rule = route(objective_s, 0.2)
    queue = AdmissionQueue()
    entry = queue.join(1, "w", 0.0, rule.caller_patience_s)
    assert not queue.has_expired(entry, 0.2 * rule.caller_patience_s)
    assert queue.has_expired(entry, 0.8 * rule.caller_patience_s)


def test_requests_of_a_route_without_times_are_not_rejected_as_late():
    """An operator does not configure when an answer is on time.

    If that counted as zero, each request that waits behind four others would be
    rejected at once.
    """
    due_in_s = route(0.0, 0.0).first_event_due_s
    queue = AdmissionQueue()
    entries = [queue.join(1, "w", 0.0, 2.0, due_in_s) for _ in range(9)]
    assert not any(queue.is_hopeless(entry, 1.0) for entry in entries)
    assert route(0.5, 0.2).first_event_due_s == 0.5
