"""Scheduling decisions under load: pure code, without network, clock or tasks.

Each module documents the load or failure that it handles, what goes wrong without
it, and the reasons for its thresholds.  Time is always an argument.
"""

from radishfield.decisions._data import (
    Dispatch,
    Expired,
    Failure,
    FailureKind,
    GiveUp,
    Queued,
    Refused,
    Retry,
    Work,
)
from radishfield.decisions._placement import (
    Move,
    WeightStore,
    propose_moves,
)
from radishfield.decisions._scheduler import (
    Scheduler,
)

__all__ = [
    "Dispatch",
    "Expired",
    "Failure",
    "FailureKind",
    "GiveUp",
    "Move",
    "Queued",
    "Refused",
    "Retry",
    "Scheduler",
    "WeightStore",
    "Work",
    "propose_moves",
]
