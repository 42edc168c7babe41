"""Guards the benchmark figures of the decisions against regression.

Only figures of virtual time and seeded load are checked against bounds, because
they are the same on every run and every machine.  The scenarios run shorter than in
``make bench`` and with the scheduler alone, so their figures differ from its figures.
"""

import json
from pathlib import Path

import pytest

from bench import _faults, _scenarios
from bench._runs import OURS

SCHEDULER_ONLY = (OURS,)
BOUND_BY_NAME = json.loads((Path(__file__).parent / "bounds.json").read_text())
RUN_BY_SCENARIO = {
    "saturation": lambda: _scenarios.saturation(90.0, SCHEDULER_ONLY, seeds=(7,)),
    "overload_2x": lambda: _scenarios.overload(2.0, 60.0, SCHEDULER_ONLY),
    "overload_5x": lambda: _scenarios.overload(5.0, 60.0, SCHEDULER_ONLY),
    "heavy_workspaces": lambda: _scenarios.heavy_workspaces(60.0, SCHEDULER_ONLY),
    "slow_target": lambda: _faults.slow_target(85.0, SCHEDULER_ONLY),
    "long_among_short": lambda: _scenarios.long_among_short(200.0, SCHEDULER_ONLY),
    "stage_dies": lambda: _faults.stage_dies(100.0, SCHEDULER_ONLY, seeds=(7,)),
    "zone_lost": lambda: _faults.zone_lost(70.0, SCHEDULER_ONLY),
}


@pytest.mark.parametrize("name", RUN_BY_SCENARIO)
def test_the_figure_stays_within_its_bound(name):
    result = RUN_BY_SCENARIO[name]()
    bound = BOUND_BY_NAME[name]
    if result.higher_is_better:
        assert result.metric >= bound, result.line()
    else:
        assert result.metric <= bound, result.line()


def test_the_same_load_gives_the_same_figure():
    first = _faults.zone_lost(65.0, SCHEDULER_ONLY)
    assert _faults.zone_lost(65.0, SCHEDULER_ONLY) == first
