"""What the fleet asks of the network between entry hosts, beside `PeerPort`."""

from collections.abc import Callable, Sequence
from typing import Protocol

from radishfield.core import PeerPort

NewsHandler = Callable[[str, bytes], None]


class PeerMessages(PeerPort, Protocol):
    """Questions and answers, and datagrams that may be lost."""

    async def tell(self, member_ids: Sequence[str], topic: str, payload: bytes) -> None:
        """Send one datagram to each member; it may be lost or come twice."""

    def hear(self, topic: str, handler: NewsHandler) -> None:
        """Register what takes in a topic's datagrams, with the sender's id."""

    def add_seeds(self, addresses: Sequence[str]) -> None:
        """Try these addresses too when members are looked for."""

    def compare_state(
        self, digest: Callable[[], int], differs: Callable[[str], None]
    ) -> None:
        """Carry a digest of this host's state in each heartbeat.

        ``differs`` gets the id of a member whose heartbeat carried another one.
        """
