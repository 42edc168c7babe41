"""Limits that the entry host and the router keep alike: plain values and decisions.

Nothing here does I/O or reads a clock.
"""

from radishfield.limits._retries import RetryAllowance, RetryBudget, RetryUse

__all__ = ["RetryAllowance", "RetryBudget", "RetryUse"]
