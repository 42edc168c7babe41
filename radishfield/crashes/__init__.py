"""Refusal of requests that crash their targets, for the entry host and the router.

A `CrashBook` is a plain value that records such requests.  A `CrashGuard` keeps the
book of a host up to date and stops the runs of a request that is refused.
"""

from radishfield.crashes._book import (
    CRASH_WINDOW_S,
    REFUSAL_THRESHOLD,
    REFUSED_S,
    CrashBook,
    CrashReport,
    TargetCrash,
    TargetCrashEntry,
    Verdict,
)
from radishfield.crashes._digest import request_digest
from radishfield.crashes._guard import CrashGuard
from radishfield.crashes._listens import is_listening

__all__ = [
    "CRASH_WINDOW_S",
    "REFUSAL_THRESHOLD",
    "REFUSED_S",
    "CrashBook",
    "CrashGuard",
    "CrashReport",
    "TargetCrash",
    "TargetCrashEntry",
    "Verdict",
    "is_listening",
    "request_digest",
]
