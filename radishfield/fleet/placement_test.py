"""Tests of which host proposes placement orders, and for which targets."""

from types import SimpleNamespace

import trio
import trio.testing
from expression import Error, Ok

from radishfield.core import LayerRange, ResultCode, Target, TargetState, fault
from radishfield.decisions import Move
from radishfield.fleet import PlacementPlanner, PlacementSettings

NOT_HELD = Error(fault(ResultCode.LEASE_NOT_HELD))


def engine(name, zone="a", state=TargetState.LIVE):
    return Target(name, name, zone, "127.0.0.1:1", layers=LayerRange(0, 4), state=state)


def run_periods(lease_answers, targets):
    """Run one period for each lease answer; return planned ids and proposed orders."""
    planned, proposed = [], []
    answers = list(lease_answers)

    def plan_moves(group, links, zone, store):
        planned.append([target.id for target in group])
        return [Move(group[0].id, LayerRange(4, 8), 10.0, 4.0, "bottleneck")]

    planner = PlacementPlanner(
        PlacementSettings("a", period_s=10.0),
        SimpleNamespace(check=lambda: answers.pop(0)),
        SimpleNamespace(targets=lambda: targets),
        SimpleNamespace(propose=proposed.append),
        plan_moves=plan_moves,
    )

    async def main():
        with trio.move_on_after(10.0 * len(lease_answers) + 5.0):
            await planner.run()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.01))
    return planned, proposed


def test_only_the_lease_holder_plans_and_only_for_live_targets_of_its_zone():
    targets = [
        engine("here"),
        engine("leaving", state=TargetState.LEAVING),
        engine("elsewhere", zone="b"),
    ]
    planned, proposed = run_periods([Ok(None), NOT_HELD], targets)
    assert planned == [["here"]]
    (orders,) = proposed
    assert (orders[0].target_id, orders[0].layers) == ("here", LayerRange(4, 8))
