"""Port for messages between entry hosts, which adds datagrams to `PeerPort`."""

from collections.abc import Callable, Sequence
from typing import Protocol

from radishfield.core import PeerPort

NewsHandler = Callable[[str, bytes], None]


class PeerMessages(PeerPort, Protocol):
    """Requests and answers, and datagrams that may be lost."""

    async def tell(self, member_ids: Sequence[str], topic: str, payload: bytes) -> None:
        """Send one datagram to each member; it may be lost or duplicated."""

    def hear(self, topic: str, handler: NewsHandler) -> None:
        """Register a handler of a topic's datagrams; it gets the sender's id first."""

    def add_seeds(self, addresses: Sequence[str]) -> None:
        """Add addresses to try when members are discovered."""

    def compare_state(
        self, digest: Callable[[], int], differs: Callable[[str], None]
    ) -> None:
        """Send a digest of this host's state in each heartbeat.

        ``differs`` gets the id of a member whose heartbeat has a different one.
        """
