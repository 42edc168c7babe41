"""Lists the scenarios and runs all or some of them."""

import functools
from collections.abc import Callable, Sequence

from bench import _cost, _faults, _report, _scenarios
from bench._runs import Result

SCENARIOS: dict[str, Callable[[], Result]] = {
    "saturation": _scenarios.saturation,
    "overload_2x": functools.partial(_scenarios.overload, 2.0),
    "overload_5x": functools.partial(_scenarios.overload, 5.0),
    "heavy_workspaces": _scenarios.heavy_workspaces,
    "slow_target": _faults.slow_target,
    "long_among_short": _scenarios.long_among_short,
    "stage_dies": _faults.stage_dies,
    "zone_lost": _faults.zone_lost,
    "cost": _cost.cost_per_decision,
}


def main(names: Sequence[str]) -> int:
    """Run the named scenarios, or all; print a line for each and save its figures."""
    unknown = [name for name in names if name not in SCENARIOS]
    if unknown:
        print(f"unknown scenario {unknown[0]}; choose from {', '.join(SCENARIOS)}")
        return 2
    for name in names or SCENARIOS:
        result = SCENARIOS[name]()
        print(result.line(), flush=True)
        _report.save(result)
    _report.draw(_report.load_saved())
    return 0
