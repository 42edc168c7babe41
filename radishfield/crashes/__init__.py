"""Refusal of requests that crash their targets, for the entry host and the router.

A `CrashBook` is a plain value that records the crashes under each trait of requests,
and `find_proofs` decides which traits are to blame.  A `CrashGuard` keeps the book of a
host up to date and stops the runs of a request that is refused.
"""

from radishfield.crashes._blame import REFUSAL_THRESHOLD
from radishfield.crashes._book import (
    CRASH_WINDOW_S,
    REFUSED_S,
    CrashBook,
    Verdict,
)
from radishfield.crashes._digest import request_digest
from radishfield.crashes._guard import CrashGuard
from radishfield.crashes._listens import is_listening
from radishfield.crashes._records import CrashReport, TargetCrash, TargetCrashEntry
from radishfield.crashes._traits import RequestTraits, part_trait

__all__ = [
    "CRASH_WINDOW_S",
    "REFUSAL_THRESHOLD",
    "REFUSED_S",
    "CrashBook",
    "CrashGuard",
    "CrashReport",
    "RequestTraits",
    "TargetCrash",
    "TargetCrashEntry",
    "Verdict",
    "is_listening",
    "part_trait",
    "request_digest",
]
