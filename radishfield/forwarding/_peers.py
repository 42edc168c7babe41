"""The other entry hosts that this one knows, and which of them it talks to."""

import math
import random

import msgspec

from radishfield.routing import WATCHERS_PER_ZONE, ZoneHost

REMOTE_ZONE_EVERY = 4
"""Other zones hear each fourth status: their work rarely meets this zone's, and
bytes between zones are paid for."""
SILENT_EVERY = 8
"""Hosts of the zone that have fallen silent hear each eighth status."""
ZONE_FANOUT = 12
"""Hosts of the own zone that hear a status, each in its turn where there are more:
a host's part of the load shrinks as the hosts grow, and so does what its status is
worth."""
REMOTE_ZONE_FANOUT = 6
"""Hosts of other zones that hear a status, drawn at random: with many hosts the
bytes between zones must not grow with their square."""
ALIVE_S = 2.5
COUNTED_S = 30.0
"""Time for which a host that has fallen silent is still counted among those that
share allowances: longer than cuts last, after which both sides spend again."""


class Peer(msgspec.Struct):
    """Another host, as last heard.

    Attributes
    ----------
    sent_at : float
        Reading of its own clock in its last status.
    store_silent_s : float
        Seconds since it had an answer of the store, by its last status.
    watches : bool
        It follows the store for its zone.
    """

    address: tuple[str, int]
    zone: str
    found_at: float
    heard_at: float = -1e9
    sent_at: float = 0.0
    store_silent_s: float = math.inf
    watches: bool = False

    def is_alive(self, now: float) -> bool:
        """Return whether it was heard lately."""
        return now - self.heard_at < ALIVE_S

    def is_present(self, now: float) -> bool:
        """Return whether it lives, or was found too lately to be heard.

        Hosts that start together would else be strangers, who get every eighth
        status and no news, for their first two seconds.
        """
        return now - max(self.heard_at, self.found_at) < ALIVE_S

    def silent_s(self, now: float) -> float:
        """Return since when it has had no answer of the store, at the most."""
        return self.store_silent_s + now - self.heard_at


class PeerBook:
    """All other hosts, by id."""

    __slots__ = ("_chance", "_zone", "peer_by_id")

    def __init__(self, zone: str, chance: random.Random):
        self._zone = zone
        self._chance = chance
        self.peer_by_id: dict[str, Peer] = {}

    def near(self) -> dict[str, Peer]:
        """Return the hosts of the own zone, by id."""
        return {
            host_id: peer
            for host_id, peer in self.peer_by_id.items()
            if peer.zone == self._zone
        }

    def present_near(self, now: float) -> list[Peer]:
        """Return the hosts of the own zone that hear news."""
        return [peer for peer in self.near().values() if peer.is_present(now)]

    def alive(self, now: float) -> dict[str, Peer]:
        """Return the hosts that were heard lately, by id."""
        return {
            host_id: peer
            for host_id, peer in self.peer_by_id.items()
            if peer.is_alive(now)
        }

    def zone_hosts(self, now: float) -> list[ZoneHost]:
        """Return the hosts that share the duty of following the store."""
        return [
            ZoneHost(host_id, peer.watches, peer.silent_s(now))
            for host_id, peer in self.near().items()
            if peer.is_present(now)
        ]

    def far_watchers(self) -> list[Peer]:
        """Return the hosts of other zones that follow the store, or likely do."""
        far = {
            host_id: peer
            for host_id, peer in self.peer_by_id.items()
            if peer.zone != self._zone
        }
        ids_by_zone: dict[str, list[str]] = {}
        for host_id, peer in far.items():
            ids_by_zone.setdefault(peer.zone, []).append(host_id)
        likely = {
            host_id
            for ids in ids_by_zone.values()
            for host_id in sorted(ids)[:WATCHERS_PER_ZONE]
        }
        return [
            peer for host_id, peer in far.items() if peer.watches or host_id in likely
        ]

    def recipients(self, number: int, now: float, has_duties: bool) -> list[Peer]:
        """Return who hears a status, by its number.

        Parameters
        ----------
        has_duties : bool
            This host places layers: every host that sees an empty target would ask
            the store who does, so those that pass it on hear it soon.
        """
        near = [
            peer
            for peer in self.near().values()
            if peer.is_present(now) or number % SILENT_EVERY == 0
        ]
        if len(near) > ZONE_FANOUT:
            start = number * ZONE_FANOUT % len(near)
            in_turn = near[start:] + near[:start]
            # A watcher's word counts from when it heard this host, so it always does.
            near = in_turn[:ZONE_FANOUT] + [
                peer for peer in in_turn[ZONE_FANOUT:] if peer.watches
            ]
        if number % REMOTE_ZONE_EVERY == 0:
            far = [peer for peer in self.peer_by_id.values() if peer.zone != self._zone]
            return near + self._chance.sample(far, min(REMOTE_ZONE_FANOUT, len(far)))
        return near + self.far_watchers() if has_duties else near

    def counted(self, now: float) -> int:
        """Return how many hosts share allowances, this one included."""
        return 1 + sum(
            now - max(peer.heard_at, peer.found_at) < COUNTED_S
            for peer in self.peer_by_id.values()
        )
