"""Which hosts keep a claim, and when their word proves that a key is free.

No I/O here.  A claim is granted when a majority of its keepers record it and
vouch that they remember every claim in force.  Any two majorities share a
keeper, and that one refuses the second claim.  Three things would break this:

- A keeper that restarted has an empty memory.  It records, but vouches only
  once it has been up for longer than a claim lives.
- Hosts that come displace keepers.  A newcomer does not vouch either, and a
  newcomer only pushes others down the ranking, so those that vouch were keepers
  before it came.
- Hosts that go let others move up, who have no record.  A host counts as a
  keeper until the platform's list says that it is gone, and for a claim's
  lifetime after that; those who will move up record meanwhile.  A host that is
  only out of reach counts on: in a cut, only a side that reaches a majority of
  the keepers grants claims.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

# Nine keepers over three zones stay a majority when a zone and one more host
# are out of reach; today's fleets have seven to nine hosts, so all keep all.
KEEPERS = 9
# A claim asks for its keepers some twenty times while it is being won.  Ranking
# 340 hosts each time took 13 ms a claim; the last rankings are kept instead.
MAX_RANKINGS = 256


@dataclass(slots=True, frozen=True)
class KnownHost:
    """An entry host that may keep claims."""

    id: str
    zone: str


@dataclass(slots=True, frozen=True)
class Keepers:
    """Who votes on a claim, and who else records it for the time to come."""

    voters: tuple[str, ...]
    witnesses: tuple[str, ...]

    @property
    def majority(self) -> int:
        """Return how many voters must record and vouch."""
        return len(self.voters) // 2 + 1


class Universe:
    """Every entry host that was ever known and is not proven gone."""

    __slots__ = (
        "_hosts_by_id",
        "_gone_since_by_id",
        "_gone_s",
        "_digest",
        "_keepers_by_place",
    )

    def __init__(self, gone_s: float):
        self._hosts_by_id: dict[str, KnownHost] = {}
        self._gone_since_by_id: dict[str, float] = {}
        self._gone_s = gone_s
        self._digest: int | None = None
        self._keepers_by_place: dict[tuple[str, str], Keepers] = {}

    @property
    def digest(self) -> int:
        """Return a digest of the hosts, the same on hosts that know the same."""
        if self._digest is None:
            names = "\0".join(sorted(self._hosts_by_id))
            self._digest = xxhash.xxh64_intdigest(names.encode())
        return self._digest

    def hosts(self) -> Sequence[KnownHost]:
        """Return every host that counts."""
        return tuple(self._hosts_by_id.values())

    def add(self, hosts: Iterable[KnownHost]) -> None:
        """Learn of hosts; one that was declared gone does not come back."""
        for host in hosts:
            if host.id not in self._hosts_by_id:
                if host.id not in self._gone_since_by_id:
                    self._hosts_by_id[host.id] = host
                    self._changed()

    def mark_gone(self, host_id: str, now: float) -> None:
        """Note that the platform's list no longer has a host.

        A host's identity must not be used again after this.
        """
        self._gone_since_by_id.setdefault(host_id, now)
        self._changed()

    def keepers(self, place: tuple[str, str], now: float) -> Keepers:
        """Return who keeps the claim of a workspace's key."""
        self._drop_gone(now)
        if place not in self._keepers_by_place:
            if len(self._keepers_by_place) >= MAX_RANKINGS:
                self._keepers_by_place.clear()
            self._keepers_by_place[place] = self._rank(place)
        return self._keepers_by_place[place]

    def _rank(self, place: tuple[str, str]) -> Keepers:
        name = "\0".join(place)
        hosts = self._hosts_by_id.values()
        staying = [host for host in hosts if host.id not in self._gone_since_by_id]
        voters = _spread(hosts, name)
        next_voters = _spread(staying, name)
        witnesses = tuple(each for each in next_voters if each not in voters)
        return Keepers(voters, witnesses)

    def _changed(self) -> None:
        self._digest = None
        self._keepers_by_place.clear()

    def _drop_gone(self, now: float) -> None:
        for host_id, since in self._gone_since_by_id.items():
            if now - since >= self._gone_s and host_id in self._hosts_by_id:
                del self._hosts_by_id[host_id]
                self._changed()


def _spread(hosts: Iterable[KnownHost], name: str) -> tuple[str, ...]:
    """Return the first keepers by rendezvous hash, zone by zone in turn."""
    ids_by_zone: dict[str, list[str]] = {}
    for host in hosts:
        ids_by_zone.setdefault(host.zone, []).append(host.id)
    zones = sorted(ids_by_zone, key=lambda zone: _weight(zone, name))
    for ids in ids_by_zone.values():
        ids.sort(key=lambda host_id: _weight(host_id, name))
    longest = max((len(ids) for ids in ids_by_zone.values()), default=0)
    in_turn = [
        ids_by_zone[zone][turn]
        for turn in range(longest)
        for zone in zones
        if turn < len(ids_by_zone[zone])
    ]
    return tuple(in_turn[:KEEPERS])


def _weight(member: str, name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{name}\0{member}".encode()), member
