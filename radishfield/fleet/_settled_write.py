"""A conditional write whose lost answer is settled by reading back.

An answer lost after the write took effect leaves the writer in doubt.  Giving
up would tell an operator "failed" about a change that is in force; writing
again blindly would meet the own first try as a conflict and report another
operator's win.  Each change therefore carries an identity of its own, which the
writer looks for in what is stored.  Writing again under the same expected
version is safe: the platform lets at most one of the tries take effect.
"""

from collections.abc import Callable

import trio
from expression import Error, Ok, Result

from radishfield.core import (
    Fault,
    PlatformPort,
    ResultCode,
    StoredObject,
    fault,
)

SETTLE_STEPS = 8
"""Bound on writes and reads of one change; with the waits below about 6 s."""

STEP_WAITS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
"""A stale read or a short outage passes within these; an operator waits."""

Carries = Callable[[bytes], bool]


async def write_settled(
    platform: PlatformPort,
    wanted: StoredObject,
    carries: Carries,
    steps: int = SETTLE_STEPS,
) -> Result[StoredObject, Fault]:
    """Write and find out whether it took effect.

    Parameters
    ----------
    wanted : StoredObject
        ``version`` is the stored version that the change expects.
    carries : callable
        Tells from a stored value whether the change went into it, also as one
        of the changes before the newest.
    steps : int
        Writes at the most; fewer where the caller has its own next time.

    Returns
    -------
    Result
        The stored object; ``PLATFORM_CONFLICT`` if another change won;
        ``PLATFORM_AMBIGUOUS`` if it could not be settled; else a fault that
        proves that nothing was written.
    """
    in_doubt = False
    for step in range(steps):
        written = await platform.write(
            wanted.kind, wanted.name, wanted.value, wanted.version
        )
        if written.is_ok():
            return written
        problem = written.error
        if problem.code is ResultCode.PLATFORM_AMBIGUOUS:
            in_doubt = True
        elif not in_doubt:
            return written
        if problem.code in (
            ResultCode.PLATFORM_AMBIGUOUS,
            ResultCode.PLATFORM_CONFLICT,
        ):
            settled = await _settle(platform, wanted, carries)
            if settled is not None:
                return settled
        if step < min(steps - 1, len(STEP_WAITS_S)):
            await trio.sleep(STEP_WAITS_S[step])
    return Error(fault(ResultCode.PLATFORM_AMBIGUOUS, "could not be read back"))


async def _settle(
    platform: PlatformPort, wanted: StoredObject, carries: Carries
) -> Result[StoredObject, Fault] | None:
    """Read back; None where the read proves nothing (old, or not possible)."""
    read = await platform.read(wanted.kind, wanted.name)
    if read.is_error():
        return None
    stored = read.ok
    if stored.version <= wanted.version:
        return None
    if carries(stored.value):
        return Ok(stored)
    return Error(fault(ResultCode.PLATFORM_CONFLICT, f"version {stored.version} won"))
