"""Detects and refuses requests that crash the targets which run them."""

from collections.abc import Awaitable, Callable, Iterable

from radishfield.core import Fault, Request, ResultCode, Target, TargetState
from radishfield.crashes import (
    CrashGuard,
    RequestTraits,
    is_listening,
    request_digest,
)
from radishfield.serving._observer import AnyRequest

ListenCheck = Callable[[Target], Awaitable[bool | None]]
"""Returns whether a target listens; None if that cannot be determined."""

BROKEN_CODES = frozenset(
    {
        ResultCode.STREAM_BROKEN,
        ResultCode.ANSWER_TRUNCATED,
        # A broken stream is reopened before its attempt counts as failed.
        ResultCode.CONNECT_FAILED,
    }
)
"""Failures of a started attempt that a crash of its target may have caused."""


async def check_target_listening(target: Target) -> bool | None:
    """Return whether anything listens at a target's address."""
    host, _, port = target.address.rpartition(":")
    return await is_listening(host, int(port))


async def skip_listen_check(target: Target) -> bool | None:
    """Return None: targets without an address cannot be checked."""
    return None


def digest_of(request: AnyRequest) -> str:
    """Return a digest that is equal for the same request under another id."""
    body = request.body_digest or request.id
    parts = (request.profile.name, request.workspace, body)
    return request_digest(part.encode() for part in parts)


def traits_of(request: AnyRequest) -> RequestTraits:
    """Return what a request shares with others that may crash the same targets."""
    match request:
        case Request():
            parts = request.shared_parts
        case _:
            parts = ()
    return RequestTraits.from_parts(digest_of(request), parts)


class TargetCrashes:
    """Counts target crashes under requests, and refuses requests because of them."""

    __slots__ = ("_check_listening", "_target_by_id", "guard")

    def __init__(
        self, guard: CrashGuard, check_listening: ListenCheck = skip_listen_check
    ):
        self.guard = guard
        self._check_listening = check_listening
        self._target_by_id: dict[str, Target] = {}

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Replace the known targets."""
        self._target_by_id = {target.id: target for target in targets}

    async def note_failure(
        self, traits: RequestTraits, target_id: str, problem: Fault
    ) -> None:
        """Check the target of a started attempt that broke, and count its crash."""
        target = self._target_by_id.get(target_id)
        if target is None or problem.code not in BROKEN_CODES:
            return
        # Work that outlasts its target's notice is aborted when the target exits.
        if (
            target.state is TargetState.LIVE
            and await self._check_listening(target) is False
        ):
            self.guard.count(traits, target.id, target.incarnation)
