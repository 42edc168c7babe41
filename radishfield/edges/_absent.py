"""What stands in an entry host's wiring where its settings name nobody.

A host without a platform or without peers serves from its settings file alone.
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
    """A `PlatformPort` that is never reached."""

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
    """A `PeerPort` of a host that knows only itself."""

    __slots__ = ("_self",)

    def __init__(self, own: Member):
        self._self = own

    def members(self) -> Sequence[Member]:
        """Return this host."""
        return (self._self,)

    async def ask(
        self, member_id: str, topic: str, payload: bytes, timeout_s: float
    ) -> Result[bytes, Fault]:
        """Fail; there is nobody to ask."""
        return Error(_NO_PEERS)

    def answer(self, topic: str, handler: PeerHandler) -> None:
        """Keep nothing; nobody asks."""

    async def tell(self, member_ids: Sequence[str], topic: str, payload: bytes) -> None:
        """Send nothing."""

    def hear(self, topic: str, handler: Callable[[str, bytes], None]) -> None:
        """Keep nothing; nobody tells."""

    def add_seeds(self, addresses: Sequence[str]) -> None:
        """Look for nobody."""

    def compare_state(
        self, digest: Callable[[], int], differs: Callable[[str], None]
    ) -> None:
        """Compare with nobody."""

    async def announce_leaving(self) -> None:
        """Tell nobody."""
