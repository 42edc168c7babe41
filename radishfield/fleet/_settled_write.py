"""Conditional write that is read back if its answer is lost.

If an answer is lost after the write took effect, the writer can't know the
outcome.  Stopping there would report "failed" to an operator about a change that
is active; writing again blindly would conflict with the writer's own first
attempt and report that another operator won.  Each change therefore carries an
id, which the writer looks for in the stored value.  Writing again under the same
expected version is safe: the platform lets at most one of the attempts take effect.
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

MAX_ATTEMPTS = 8
"""Bound on writes and reads of one change; with the delays below about 6 s."""

ATTEMPT_DELAYS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
"""A stale read or a short outage ends within these, while an operator waits."""

ContainsChange = Callable[[bytes], bool]


async def write_settled(
    platform: PlatformPort,
    wanted: StoredObject,
    contains_change: ContainsChange,
    max_attempts: int = MAX_ATTEMPTS,
) -> Result[StoredObject, Fault]:
    """Write a value and determine whether the write took effect.

    Parameters
    ----------
    wanted : StoredObject
        ``version`` is the stored version that the change expects.
    contains_change : callable
        Returns whether a stored value contains the change, also as one of the
        changes before the newest.
    max_attempts : int
        Maximum number of writes; lower where the caller itself writes again later.

    Returns
    -------
    Result
        The stored object; ``PLATFORM_CONFLICT`` if another change won;
        ``PLATFORM_AMBIGUOUS`` if it could not be settled; else a fault that
        proves that nothing was written.
    """
    in_doubt = False
    for attempt in range(max_attempts):
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
            settled = await _settle(platform, wanted, contains_change)
            if settled is not None:
                return settled
        if attempt < min(max_attempts - 1, len(ATTEMPT_DELAYS_S)):
            await trio.sleep(ATTEMPT_DELAYS_S[attempt])
    return Error(
        fault(
            ResultCode.PLATFORM_AMBIGUOUS,
            "the outcome of the write could not be read back",
        )
    )


async def _settle(
    platform: PlatformPort, wanted: StoredObject, contains_change: ContainsChange
) -> Result[StoredObject, Fault] | None:
    """Read the value back; None if the read proves nothing (stale, or failed)."""
    read = await platform.read(wanted.kind, wanted.name)
    if read.is_error():
        return None
    stored = read.ok
    if stored.version <= wanted.version:
        return None
    if contains_change(stored.value):
        return Ok(stored)
    return Error(fault(ResultCode.PLATFORM_CONFLICT, f"version {stored.version} won"))
