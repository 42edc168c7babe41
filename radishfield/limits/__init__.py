"""Limits that apply to the entry host and the router: plain values and decisions.

Nothing here does I/O or reads a clock.
"""

from radishfield.limits._retries import RetryAllowance, RetryBudget, RetryUse

__all__ = ["RetryAllowance", "RetryBudget", "RetryUse"]
