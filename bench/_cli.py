"""Which scenarios there are, and the run over all or some of them."""

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
    """Play the named scenarios, or all; print a line each and keep the figures."""
    unknown = [name for name in names if name not in SCENARIOS]
    if unknown:
        print(f"no scenario {unknown[0]}; there are {', '.join(SCENARIOS)}")
        return 2
    for name in names or SCENARIOS:
        result = SCENARIOS[name]()
        print(result.line(), flush=True)
        _report.keep(result)
    _report.draw(_report.kept())
    return 0
