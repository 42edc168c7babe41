"""Null ports for an entry host whose settings name no platform or no peers.

Such a host serves from its settings file alone.
"""

from collections.abc import Callable, Sequence

from expression import Error, Result

from radishfield.core import (
    Fault,
    HostListing,
    Member,
    PeerHandler,
    ResultCode,
    StoredListing,
    StoredObject,
    WatchBatch,
    fault,
)

_NO_PLATFORM = fault(ResultCode.PLATFORM_UNAVAILABLE, "settings name no platform")
_NO_PEERS = fault(ResultCode.PEER_UNREACHABLE, "settings name no peers")


class AbsentPlatform:
    """A `PlatformPort` whose every call fails."""

    __slots__ = ()

    async def read(self, kind: str, name: str) -> Result[StoredObject, Fault]:
        """Fail."""
        return Error(_NO_PLATFORM)

    async def write(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> Result[StoredObject, Fault]:
        """Fail; nothing was written."""
        return Error(_NO_PLATFORM)

    async def list(self, kind: str) -> Result[StoredListing, Fault]:
        """Fail."""
        return Error(_NO_PLATFORM)

    async def watch(
        self, kind: str, after: int, timeout_s: float
    ) -> Result[WatchBatch, Fault]:
        """Fail."""
        return Error(_NO_PLATFORM)

    async def hosts(self) -> Result[HostListing, Fault]:
        """Fail."""
        return Error(_NO_PLATFORM)


class LonePeer:
    """A `PeerPort` of a host without peers."""

    __slots__ = ("_own",)

    def __init__(self, own: Member):
        self._own = own

    def members(self) -> Sequence[Member]:
        """Return this host."""
        return (self._own,)

    async def ask(
        self, member_id: str, topic: str, payload: bytes, timeout_s: float
    ) -> Result[bytes, Fault]:
        """Fail; there is no peer to query."""
        return Error(_NO_PEERS)

    def answer(self, topic: str, handler: PeerHandler) -> None:
        """Ignore the handler; no peer sends requests."""

    async def tell(self, member_ids: Sequence[str], topic: str, payload: bytes) -> None:
        """Send nothing."""

    def hear(self, topic: str, handler: Callable[[str, bytes], None]) -> None:
        """Ignore the handler; no peer sends datagrams."""

    def add_seeds(self, addresses: Sequence[str]) -> None:
        """Ignore the addresses."""

    def compare_state(
        self, digest: Callable[[], int], differs: Callable[[str], None]
    ) -> None:
        """Ignore the callbacks; there is no peer to compare with."""

    async def announce_leaving(self) -> None:
        """Send nothing."""
