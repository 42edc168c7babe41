"""Whether new work can still finish on time.

Load pattern: two to five times more arrives than the fleet can run, in waves.
Without admission everything waits until everything is late: the fleet works at
full speed on answers that nobody can use.  Here work is admitted only if its
wait and its run fit before its deadline, measured in expected tokens; the rest
is refused at once, with the time after which the same request would fit.
"""

import zlib
from dataclasses import dataclass

from radishfield.core import Fault, ResultCode, fault
from radishfield.decisions._data import Work

MAX_QUEUED = 10_000
"""Entries that one entry host holds: about 10 MB, and minutes of work at the
target size, so that it is reached only if forecasts fail."""

WAIT_CAUTION = 1.3
"""Work of other workspaces that arrives later may go first, and a dead target
slows the queue; a third more covers both."""

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 60.0
"""A minute bounds the error of a forecast made under a passing peak."""

RETRY_SPREAD = 0.5
"""Callers refused together are told times up to half as long again, so that a
wave does not come back as a wave."""


@dataclass(slots=True, frozen=True)
class Forecast:
    """What is expected for new work if it is admitted now.

    Attributes
    ----------
    wait_s, run_s : float
        Seconds in the queue, and on its route.
    queued : int
        Entries that wait at this entry host.
    over_share : bool
        Whether its workspace has more waiting than an even share.
    """

    wait_s: float
    run_s: float
    queued: int
    over_share: bool


def judge(work: Work, forecast: Forecast, now: float) -> Fault | None:
    """Return why the work is refused, or None to admit it."""
    if work.deadline <= now:
        return fault(ResultCode.DEADLINE_UNREACHABLE, "deadline is past")
    if forecast.queued >= MAX_QUEUED:
        retry = spread_retry(work, forecast.wait_s)
        return fault(ResultCode.QUEUE_FULL, "too much work is waiting", retry)
    left_s = work.deadline - now
    late_s = forecast.wait_s * WAIT_CAUTION + forecast.run_s - left_s
    if late_s <= 0:
        return None
    if forecast.run_s > left_s:
        detail = f"needs {forecast.run_s:.1f} s to run, has {left_s:.1f} s"
        # Where not even an empty queue would help, another try with the same
        # deadline helps only once the fleet runs faster.
        retry = spread_retry(work, max(late_s, forecast.wait_s, 5.0))
        return fault(ResultCode.DEADLINE_UNREACHABLE, detail, retry)
    detail = f"would wait {forecast.wait_s:.1f} s and run {forecast.run_s:.1f} s"
    code = ResultCode.DEADLINE_UNREACHABLE
    if forecast.over_share:
        code = ResultCode.WORKSPACE_OVER_SHARE
    return fault(code, detail, spread_retry(work, late_s))


def spread_retry(work: Work, seconds: float) -> float:
    """Return a time to come back, spread by the request's identity."""
    position = zlib.crc32(work.request_id.encode()) / 0xFFFFFFFF
    spread = max(seconds, MIN_RETRY_AFTER_S) * (1 + RETRY_SPREAD * position)
    return round(min(spread, MAX_RETRY_AFTER_S), 2)
