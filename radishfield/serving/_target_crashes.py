"""Requests that end the targets which run them, as the dispatcher keeps them out."""

from collections.abc import Awaitable, Callable, Iterable

from radishfield.core import Fault, ResultCode, Target, TargetState
from radishfield.crashes import CrashGuard, listens, request_digest
from radishfield.serving._observer import AnyRequest

TargetLook = Callable[[Target], Awaitable[bool | None]]
"""Returns whether a target listens; None where that can't be told."""

BROKEN_CODES = frozenset(
    {
        ResultCode.STREAM_BROKEN,
        ResultCode.ANSWER_TRUNCATED,
        # A stream is attached to again before its attempt counts as failed.
        ResultCode.CONNECT_FAILED,
    }
)
"""Ends of a started attempt that the end of its target may have caused."""


async def look_at_address(target: Target) -> bool | None:
    """Return whether anybody listens at a target's address."""
    host, _, port = target.address.rpartition(":")
    return await listens(host, int(port))


async def look_nowhere(target: Target) -> bool | None:
    """Return that nothing can be told, for targets without an address."""
    return None


def digest_of(request: AnyRequest) -> str:
    """Return what a request shares with the same one under another id."""
    body = request.body_digest or request.id
    parts = (request.profile.name, request.workspace, body)
    return request_digest(part.encode() for part in parts)


class TargetCrashes:
    """Counts targets that end under requests, and refuses requests for them."""

    __slots__ = ("_look", "_target_by_id", "guard")

    def __init__(self, guard: CrashGuard, look: TargetLook = look_nowhere):
        self.guard = guard
        self._look = look
        self._target_by_id: dict[str, Target] = {}

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Replace the view of targets."""
        self._target_by_id = {target.id: target for target in targets}

    async def note_failure(self, digest: str, target_id: str, problem: Fault) -> None:
        """Look at the target of a started attempt that broke, and count its end."""
        target = self._target_by_id.get(target_id)
        if target is None or problem.code not in BROKEN_CODES:
            return
        # Work that outlasts its target's notice is cut when the target exits.
        if target.state is TargetState.LIVE and await self._look(target) is False:
            self.guard.count(digest, target.id, target.incarnation)
