"""The other entry hosts, and the choice of those that receive a status."""

import math
import random
from collections import deque

import msgspec

from radishfield.forwarding._peer_messages import RelayOffer
from radishfield.routing import WATCHERS_PER_ZONE, RelayHost, ZoneHost

REMOTE_ZONE_EVERY = 4
"""Other zones receive every fourth status: they rarely use the same targets as this
zone, and traffic between zones is paid for."""
SILENT_EVERY = 8
"""Hosts of the zone that no longer send receive every eighth status."""
ZONE_FANOUT = 12
"""Maximum number of hosts of the own zone that receive a status, in turn if there are
more.  With more hosts each has a smaller share of the load, so its status matters
less."""
REMOTE_ZONE_FANOUT = 6
"""Hosts of other zones that receive a status, drawn at random: traffic between zones
must not grow with the square of the number of hosts."""
ALIVE_S = 2.5
UNHEARD_ROUNDS = 3
"""Rounds of this host's statuses after which a host that sent nothing meanwhile is no
longer heard.  A host that was held up itself has sent no round, so that messages which
it has yet to read are not taken for lost."""
COUNTED_S = 30.0
"""Time for which a host that no longer sends still counts among those that share retry
budgets.  It is longer than partitions last, after which both sides spend again."""


class Peer(msgspec.Struct):
    """Another host, as of its last status.

    Attributes
    ----------
    sent_at : float
        Reading of its own clock in its last status.
    store_silent_s : float
        Seconds since the store last answered it, by its last status.
    watches : bool
        It follows the store for its zone.
    relay : RelayOffer
        Whether it connects other hosts to targets.
    idle_share : float
        Idle share of its event loop; negative if it is not known.
    offered_at : float
        When it was last sent a version of the configuration that it lacked.
    answered_at : float
        When it was last sent a status in answer to its own.
    confirmed_list_at : float
        When it last sent a confirmation of its list.
    """

    address: tuple[str, int]
    zone: str
    found_at: float
    received_at: float = -1e9
    sent_at: float = 0.0
    store_silent_s: float = math.inf
    watches: bool = False
    relay: RelayOffer = RelayOffer.NONE
    idle_share: float = -1.0
    offered_at: float = -1e9
    answered_at: float = -1e9
    confirmed_list_at: float = -1e9

    @property
    def heard_at(self) -> float:
        """Return when a message from it last arrived, or when it was found."""
        return max(self.received_at, self.confirmed_list_at, self.found_at)

    def is_alive(self, now: float) -> bool:
        """Return whether a status was received from it recently."""
        return now - self.received_at < ALIVE_S

    def is_present(self, now: float) -> bool:
        """Return whether it is alive, or was found too recently to have sent a status.

        Otherwise hosts that start together would get only every eighth status and
        no updates from each other in their first two seconds.
        """
        return now - max(self.received_at, self.found_at) < ALIVE_S

    def silent_s(self, now: float) -> float:
        """Return the maximum time since the store last answered it."""
        return self.store_silent_s + now - self.received_at


class PeerBook:
    """All other hosts, by id."""

    __slots__ = ("_rng", "_round_times", "_zone", "peer_by_id")

    def __init__(self, zone: str, rng: random.Random):
        self._zone = zone
        self._rng = rng
        self._round_times: deque[float] = deque(maxlen=UNHEARD_ROUNDS + 1)
        self.peer_by_id: dict[str, Peer] = {}

    def begin_round(self, now: float) -> None:
        """Record that this host sends its statuses now."""
        self._round_times.append(now)

    def _is_heard(self, peer: Peer) -> bool:
        return (
            len(self._round_times) <= UNHEARD_ROUNDS
            or peer.heard_at >= self._round_times[0]
        )

    def own_zone_peers(self) -> dict[str, Peer]:
        """Return the hosts of the own zone, by id."""
        return {
            host_id: peer
            for host_id, peer in self.peer_by_id.items()
            if peer.zone == self._zone
        }

    def present_own_zone(self, now: float) -> dict[str, Peer]:
        """Return the hosts of the own zone that receive updates, by id."""
        return {
            host_id: peer
            for host_id, peer in self.own_zone_peers().items()
            if peer.is_present(now)
        }

    def present_zone_peers(self, now: float) -> list[Peer]:
        """Return the hosts of the own zone that receive updates."""
        return list(self.present_own_zone(now).values())

    def alive(self, now: float) -> dict[str, Peer]:
        """Return the hosts that sent a status recently, by id."""
        return {
            host_id: peer
            for host_id, peer in self.peer_by_id.items()
            if peer.is_alive(now)
        }

    def idle_shares(self, now: float) -> list[float]:
        """Return the known idle shares of the live hosts of the own zone."""
        return [
            peer.idle_share
            for peer in self.own_zone_peers().values()
            if peer.is_alive(now) and peer.idle_share >= 0.0
        ]

    def relays(self, now: float) -> list[RelayHost]:
        """Return the hosts that connect others to targets."""
        return [
            RelayHost(host_id, peer.address, peer.zone, peer.relay is RelayOffer.SOUND)
            for host_id, peer in self.peer_by_id.items()
            if peer.relay is not RelayOffer.NONE and peer.is_alive(now)
        ]

    def zone_hosts(self, now: float) -> list[ZoneHost]:
        """Return the hosts that share the duty of following the store."""
        return [
            ZoneHost(host_id, peer.watches, peer.silent_s(now), self._is_heard(peer))
            for host_id, peer in self.own_zone_peers().items()
            if peer.is_present(now)
        ]

    def remote_watchers(self) -> list[Peer]:
        """Return the hosts of other zones that follow the store or probably do."""
        remote = {
            host_id: peer
            for host_id, peer in self.peer_by_id.items()
            if peer.zone != self._zone
        }
        ids_by_zone: dict[str, list[str]] = {}
        for host_id, peer in remote.items():
            ids_by_zone.setdefault(peer.zone, []).append(host_id)
        likely_ids = {
            host_id
            for ids in ids_by_zone.values()
            for host_id in sorted(ids)[:WATCHERS_PER_ZONE]
        }
        return [
            peer
            for host_id, peer in remote.items()
            if peer.watches or host_id in likely_ids
        ]

    def recipients(self, number: int, now: float, has_duties: bool) -> list[Peer]:
        """Return the recipients of the status with a given number.

        Parameters
        ----------
        has_duties : bool
            This host places layers.  Each host that sees an empty target would
            otherwise ask the store which host does, so the hosts that forward
            duties get every status.
        """
        own_zone = [
            peer
            for peer in self.own_zone_peers().values()
            if peer.is_present(now) or number % SILENT_EVERY == 0
        ]
        if len(own_zone) > ZONE_FANOUT:
            start = number * ZONE_FANOUT % len(own_zone)
            rotated = own_zone[start:] + own_zone[:start]
            # A watcher's confirmation counts from the status of this host that it
            # received last, so watchers receive every status.
            own_zone = rotated[:ZONE_FANOUT] + [
                peer for peer in rotated[ZONE_FANOUT:] if peer.watches
            ]
        if number % REMOTE_ZONE_EVERY == 0:
            remote = [
                peer for peer in self.peer_by_id.values() if peer.zone != self._zone
            ]
            return own_zone + self._rng.sample(
                remote, min(REMOTE_ZONE_FANOUT, len(remote))
            )
        return own_zone + self.remote_watchers() if has_duties else own_zone

    def counted(self, now: float) -> dict[str, Peer]:
        """Return the hosts that share retry budgets and limits, by id."""
        return {
            host_id: peer
            for host_id, peer in self.peer_by_id.items()
            if now - max(peer.received_at, peer.found_at) < COUNTED_S
        }

    def count_hosts(self, now: float) -> int:
        """Return the number of hosts that share retry budgets, this one included."""
        return 1 + len(self.counted(now))
