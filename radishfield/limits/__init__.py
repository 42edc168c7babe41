"""Limits that apply to the entry host and the router: plain values and decisions.

Nothing here does I/O or reads a clock.
"""

from radishfield.limits._account import (
    CALL_BYTES,
    CONNECTION_BYTES,
    SMALL_BODY_BYTES,
    AccountLimits,
    CallerAccount,
    Holding,
    Phase,
    is_small,
)
from radishfield.limits._retries import RetryAllowance, RetryBudget, RetryUse

__all__ = [
    "CALL_BYTES",
    "CONNECTION_BYTES",
    "SMALL_BODY_BYTES",
    "Holding",
    "CallerAccount",
    "AccountLimits",
    "Phase",
    "RetryAllowance",
    "RetryBudget",
    "RetryUse",
    "is_small",
]
