"""Requests that end the targets which run them, for the entry host and the router.

What is known of them is a `CrashBook`, a plain value.  A `CrashGuard` keeps one up to
date at a host, and stops the runs of a request that is refused.
"""

from radishfield.crashes._book import (
    OUTLIVED_S,
    PROVEN_ENDS,
    REFUSED_S,
    CrashBook,
    CrashReport,
    TargetEnd,
    ToldEnd,
    Verdict,
)
from radishfield.crashes._digest import request_digest
from radishfield.crashes._guard import CrashGuard
from radishfield.crashes._listens import listens

__all__ = [
    "OUTLIVED_S",
    "PROVEN_ENDS",
    "REFUSED_S",
    "CrashBook",
    "CrashGuard",
    "CrashReport",
    "TargetEnd",
    "ToldEnd",
    "Verdict",
    "listens",
    "request_digest",
]
