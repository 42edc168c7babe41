"""Admits work that can still finish before its deadline and refuses the rest.

Two to five times more work may arrive than the fleet can run, in waves.  If all
of it were admitted, every request would wait until it is late, and the fleet would
run at full speed on answers that nobody can use.  Here work is admitted only if
its wait and its run time, measured in expected tokens, end before its deadline.
The rest is refused at once, with the time after which the same request would fit.
"""

import zlib
from dataclasses import dataclass

from radishfield.core import Fault, ResultCode, fault
from radishfield.decisions._data import Work

MAX_QUEUED = 10_000
"""Maximum number of queued entries at one entry host: about 10 MB, and minutes of
work at the intended fleet size, so it is reached only if forecasts fail."""

WAIT_SAFETY_FACTOR = 1.3
"""Factor on the expected wait.  Work of other workspaces that arrives later may be
dispatched first, and a dead target slows the queue; a third more covers both."""

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 60.0
"""Limits the error of a forecast made during a short load peak to a minute."""

RETRY_SPREAD = 0.5
"""Retry times of callers refused together are spread by up to half as long again,
so that these callers do not all return at once."""


@dataclass(slots=True, frozen=True)
class Forecast:
    """Expected wait and run time of new work if it is admitted now.

    Attributes
    ----------
    wait_s, run_s : float
        Seconds in the queue, and on its route.
    queued : int
        Entries in this entry host's queue.
    over_share : bool
        Whether its workspace has more work waiting than an even share.
    """

    wait_s: float
    run_s: float
    queued: int
    over_share: bool


def check_admission(work: Work, forecast: Forecast, now: float) -> Fault | None:
    """Return why the work is refused, or None to admit it."""
    if work.deadline <= now:
        return fault(ResultCode.DEADLINE_UNREACHABLE, "deadline has passed")
    if forecast.queued >= MAX_QUEUED:
        retry_after_s = spread_retry_delay(work, forecast.wait_s)
        return fault(
            ResultCode.QUEUE_FULL, "queue of this entry host is full", retry_after_s
        )
    left_s = work.deadline - now
    late_s = forecast.wait_s * WAIT_SAFETY_FACTOR + forecast.run_s - left_s
    if late_s <= 0:
        return None
    if forecast.run_s > left_s:
        detail = f"needs {forecast.run_s:.1f} s to run, but only {left_s:.1f} s remain"
        # The deadline cannot be met even with an empty queue, so a retry with the
        # same deadline can succeed only once the fleet runs faster.
        retry_after_s = spread_retry_delay(work, max(late_s, forecast.wait_s, 5.0))
        return fault(ResultCode.DEADLINE_UNREACHABLE, detail, retry_after_s)
    detail = (
        f"expected to wait {forecast.wait_s:.1f} s and run {forecast.run_s:.1f} s,"
        " too long for its deadline"
    )
    code = ResultCode.DEADLINE_UNREACHABLE
    if forecast.over_share:
        code = ResultCode.WORKSPACE_OVER_SHARE
    return fault(code, detail, spread_retry_delay(work, late_s))


def spread_retry_delay(work: Work, seconds: float) -> float:
    """Return a retry delay in seconds, spread by a hash of the request id."""
    fraction = zlib.crc32(work.request_id.encode()) / 0xFFFFFFFF
    delay_s = max(seconds, MIN_RETRY_AFTER_S) * (1 + RETRY_SPREAD * fraction)
    return round(min(delay_s, MAX_RETRY_AFTER_S), 2)
