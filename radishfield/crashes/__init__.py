"""Refusal of requests that crash their targets, for the entry host and the router.

A `CrashBook` is a plain value that records such requests.  A `CrashGuard` keeps the
book of a host up to date and stops the runs of a request that is refused.
"""

from radishfield.crashes._book import (
    OUTLIVED_S,
    REFUSAL_THRESHOLD,
    REFUSED_S,
    CrashBook,
    CrashReport,
    TargetCrash,
    ToldEnd,
    Verdict,
)
from radishfield.crashes._digest import request_digest
from radishfield.crashes._guard import CrashGuard
from radishfield.crashes._listens import listens

__all__ = [
    "OUTLIVED_S",
    "REFUSAL_THRESHOLD",
    "REFUSED_S",
    "CrashBook",
    "CrashGuard",
    "CrashReport",
    "TargetCrash",
    "ToldEnd",
    "Verdict",
    "listens",
    "request_digest",
]
