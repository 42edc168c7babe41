"""Which scenarios there are, and the run over all or some of them."""

import functools
import time
from collections.abc import Callable, Sequence

from bench import _faults, _scenarios
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
}


def main(names: Sequence[str]) -> int:
    """Play the named scenarios, or all of them, and print a line each."""
    for name in names or SCENARIOS:
        started = time.monotonic()
        result = SCENARIOS[name]()
        print(result.line(), flush=True)
        print(f"# {name} took {time.monotonic() - started:.0f} s", flush=True)
    return 0
