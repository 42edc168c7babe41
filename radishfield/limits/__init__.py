"""Limits that the entry host and the router keep alike: plain values and decisions.

Nothing here does I/O or reads a clock.
"""

from radishfield.limits._crashes import (
    OUTLIVED_S,
    REFUSED_S,
    CrashBook,
    CrashReport,
    TargetEnd,
    ToldEnd,
    Verdict,
)
from radishfield.limits._request_digest import request_digest
from radishfield.limits._retries import RetryAllowance, RetryBudget, RetryUse

__all__ = [
    "OUTLIVED_S",
    "REFUSED_S",
    "CrashBook",
    "CrashReport",
    "RetryAllowance",
    "RetryBudget",
    "RetryUse",
    "TargetEnd",
    "ToldEnd",
    "Verdict",
    "request_digest",
]
