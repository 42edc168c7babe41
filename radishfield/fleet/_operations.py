"""Implements the operator actions of the operator endpoint and command line."""

import uuid
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec
import trio
from expression import Error, Ok, Result

from radishfield.core import (
    Clock,
    Fault,
    Host,
    Member,
    MemberState,
    PlatformPort,
    Profile,
    ResultCode,
    StoredObject,
    Target,
    TargetKind,
    fault,
)
from radishfield.fleet import _wire
from radishfield.fleet._directory import (
    DRAIN_KIND,
    HOST_KIND,
    TARGET_KIND,
    TargetDirectory,
    drain_name,
)
from radishfield.fleet._facts import FactTable, FactVersion
from radishfield.fleet._leases import LeaseKeeper
from radishfield.fleet._ports import PeerMessages
from radishfield.fleet._profiles import PROFILE_KIND, ProfileStore
from radishfield.fleet._settled_write import write_settled
from radishfield.fleet._status import (
    Drain,
    DrainKind,
    FleetStatus,
    ProfileInZone,
    ZoneReach,
    ZoneStatus,
)
from radishfield.fleet._watcher import PlatformWatcher

VERSIONS_TOPIC = "profiles.versions"

VERSIONS_TIMEOUT_S = 1.5
CONCURRENT_QUERIES = 32
"""A status at 340 hosts takes about ten rounds of queries, which is fast enough for
a person who waits for it."""


@dataclass(slots=True, frozen=True)
class FleetParts:
    """The services that operator actions use, as the daemon wires them."""

    host: str
    zone: str
    platform: PlatformPort
    facts: FactTable
    profiles: ProfileStore
    directory: TargetDirectory
    peers: PeerMessages
    watcher: PlatformWatcher
    clock: Clock
    leases: tuple[LeaseKeeper, ...] = ()


class FleetOperations:
    """The actions that an operator can run at any entry host.

    `ProfileStore` checks and writes profiles, and its codes are returned:
    ``CHANGE_CONFLICT`` with the change that won, ``PROFILE_RETIRED``,
    ``CHANGE_INVALID``, and ``CHANGE_AMBIGUOUS`` where the platform could not
    confirm whether the change took effect.
    """

    __slots__ = ("_new_change_id", "_parts")

    def __init__(
        self,
        parts: FleetParts,
        new_change_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ):
        self._parts = parts
        self._new_change_id = new_change_id
        parts.peers.answer(VERSIONS_TOPIC, self._answer_versions)

    async def publish_profile(self, profile: Profile) -> Result[Profile, Fault]:
        """Publish a profile under a new name, and return it with its version."""
        return await self._parts.profiles.publish(profile)

    async def change_profile(
        self, profile: Profile, expected_version: int | None = None
    ) -> Result[Profile, Fault]:
        """Replace a profile; ``expected_version`` is what the operator saw."""
        return await self._parts.profiles.change(profile, expected_version)

    async def retire_profile(
        self, name: str, expected_version: int | None = None
    ) -> Result[Profile, Fault]:
        """Retire a profile for good; it stays as a tombstone."""
        return await self._parts.profiles.retire(name, expected_version)

    def list_profiles(self) -> Sequence[Profile]:
        """Return the active profiles of this host, and the retired ones."""
        return self._parts.profiles.all_profiles()

    def show_profile(self, name: str) -> Result[Profile, Fault]:
        """Return one profile as this host knows it, also a retired one."""
        return self._parts.profiles.show(name)

    async def drain(self, kind: DrainKind, id: str) -> Result[Drain, Fault]:
        """Exclude a target, a host's targets or a zone's targets from new work.

        Without the platform the drain cannot be stored.  It is then sent to all
        reachable hosts, holds until the targets restart, and the returned fault
        says so.
        """
        drained = await self._set_drain(kind, id, active=True)
        if drained.is_ok() or drained.error.code is ResultCode.CHANGE_CONFLICT:
            return drained
        marked = self._mark_leaving(kind, id)
        detail = f"platform did not store the drain; sent to peers for {marked} targets"
        return Error(fault(drained.error.code, detail, drained.error.retry_after_s))

    async def undrain(self, kind: DrainKind, id: str) -> Result[Drain, Fault]:
        """Revoke a drain."""
        return await self._set_drain(kind, id, active=False)

    async def add_target(self, target: Target) -> Result[Target, Fault]:
        """Add or replace a target's entry."""
        problem = _check_target(target)
        if problem is not None:
            return Error(problem)
        value = msgspec.json.encode(target)
        put = await self._put(TARGET_KIND, target.id, value, value.__eq__)
        return put.map(lambda stored: target)

    async def add_host(self, host: Host) -> Result[Host, Fault]:
        """Add a host; an entry host's address serves others as a seed."""
        if not host.id or not host.zone:
            return Error(fault(ResultCode.CHANGE_INVALID, "host needs an id and zone"))
        value = msgspec.json.encode(host)
        put = await self._put(HOST_KIND, host.id, value, value.__eq__)
        return put.map(lambda stored: host)

    async def status(self) -> Result[FleetStatus, Fault]:
        """Return the state known to this host, and live hosts' profile versions."""
        parts = self._parts
        members = tuple(parts.peers.members())
        answered_at = parts.watcher.last_answer_at
        status = FleetStatus(
            host=parts.host,
            zone=parts.zone,
            members=members,
            zones=zone_statuses(parts.zone, members, parts.directory.targets()),
            targets=parts.directory.targets(),
            profiles_in_zones=await self._profiles_in_zones(members),
            leases=tuple(lease.status() for lease in parts.leases),
            profiles_known=parts.facts.is_filled,
            platform_heard_s_ago=(
                None if answered_at is None else parts.clock.now() - answered_at
            ),
        )
        return Ok(status)

    async def _set_drain(
        self, kind: DrainKind, id: str, active: bool
    ) -> Result[Drain, Fault]:
        if not id:
            return Error(fault(ResultCode.CHANGE_INVALID, "id of the drain is missing"))
        drain = Drain(kind, id, active, self._new_change_id())
        value = msgspec.json.encode(drain)
        put = await self._put(DRAIN_KIND, drain_name(kind, id), value, value.__eq__)
        return put.map(lambda stored: drain)

    def _mark_leaving(self, kind: DrainKind, id: str) -> int:
        matching = [
            target
            for target in self._parts.directory.targets()
            if id == _drained_id(kind, target)
        ]
        for target in matching:
            self._parts.directory.mark_leaving(target.id, target.incarnation)
        return len(matching)

    async def _put(
        self, kind: str, name: str, value: bytes, carries: Callable[[bytes], bool]
    ) -> Result[StoredObject, Fault]:
        """Overwrite a stored object, and send the new one to the other hosts."""
        read = await self._parts.platform.read(kind, name)
        if read.is_error() and read.error.code is not ResultCode.OBJECT_NOT_FOUND:
            return Error(read.error)
        version = read.ok.version if read.is_ok() else 0
        written = await write_settled(
            self._parts.platform, StoredObject(kind, name, version, value), carries
        )
        match written:
            case Result(tag="ok", ok=stored):
                self._parts.facts.learn(stored)
                return written
            case Result(tag="error", error=problem):
                return Error(_as_change_fault(problem, f"{kind} {name}"))

    async def _profiles_in_zones(
        self, members: Sequence[Member]
    ) -> tuple[ProfileInZone, ...]:
        """Query every live host for its versions, and aggregate them by zone."""
        queried = [
            member
            for member in members
            if member.state is not MemberState.DEAD and member.id != self._parts.host
        ]
        versions_by_zone: dict[str, list[dict[str, int]]] = defaultdict(list)
        own = self._parts.profiles.version_by_name()
        versions_by_zone[self._parts.zone].append(own)
        limit = trio.CapacityLimiter(CONCURRENT_QUERIES)

        async def query(member: Member) -> None:
            async with limit:
                answer = await self._parts.peers.ask(
                    member.id, VERSIONS_TOPIC, b"", VERSIONS_TIMEOUT_S
                )
            versions = answer.bind(_wire.decode_versions)
            if versions.is_ok():
                versions_by_zone[member.zone].append(
                    {item.name: item.version for item in versions.ok}
                )

        async with trio.open_nursery() as nursery:
            for member in queried:
                nursery.start_soon(query, member)
        zones = [member.zone for member in queried] + [self._parts.zone]
        return profiles_in_zones(
            versions_by_zone,
            {zone: zones.count(zone) for zone in zones},
            {member.zone for member in members},
        )

    async def _answer_versions(
        self, sender: str, payload: bytes
    ) -> Result[bytes, Fault]:
        versions = [
            FactVersion(PROFILE_KIND, name, version)
            for name, version in self._parts.profiles.version_by_name().items()
        ]
        return Ok(_wire.encode_versions(versions))


def profiles_in_zones(
    versions_by_zone: dict[str, list[dict[str, int]]],
    queried_by_zone: dict[str, int],
    zones: set[str],
) -> tuple[ProfileInZone, ...]:
    """Return the lowest and highest version of each profile in each zone."""
    names = {
        name
        for answers in versions_by_zone.values()
        for answer in answers
        for name in answer
    }
    return tuple(
        ProfileInZone(
            name,
            zone,
            min((answer.get(name, 0) for answer in answers), default=0),
            max((answer.get(name, 0) for answer in answers), default=0),
            len(answers),
            queried_by_zone.get(zone, 0),
        )
        for name in sorted(names)
        for zone in sorted(zones | set(versions_by_zone))
        for answers in (versions_by_zone.get(zone, []),)
    )


def zone_statuses(
    own_zone: str, members: Sequence[Member], targets: Sequence[Target]
) -> tuple[ZoneStatus, ...]:
    """Return the status of each zone that has a host or a target."""
    zones = {member.zone for member in members} | {target.zone for target in targets}
    statuses = []
    for zone in sorted(zones):
        known = [member for member in members if member.zone == zone]
        live = sum(member.state is not MemberState.DEAD for member in known)
        reach = ZoneReach.CUT_OFF
        if live or zone == own_zone:
            reach = ZoneReach.REACHABLE
        elif not known:
            reach = ZoneReach.SILENT
        statuses.append(ZoneStatus(zone, reach, live, len(known)))
    return tuple(statuses)


def _drained_id(kind: DrainKind, target: Target) -> str:
    match kind:
        case DrainKind.TARGET:
            return target.id
        case DrainKind.HOST:
            return target.host
        case DrainKind.ZONE:
            return target.zone


def _check_target(target: Target) -> Fault | None:
    """Return why a target cannot be added, or None."""
    if not (target.id and target.host and target.zone and target.address):
        detail = "target needs an id, host, zone and address"
        return fault(ResultCode.CHANGE_INVALID, detail)
    is_engine = target.kind is TargetKind.ENGINE
    if is_engine and not 0 <= target.layers.first < target.layers.end:
        return fault(ResultCode.CHANGE_INVALID, "engine needs a range of layers")
    if is_engine and target.layers.end > target.model_layers:
        return fault(ResultCode.CHANGE_INVALID, "layers exceed those of the model")
    return None


def _as_change_fault(problem: Fault, what: str) -> Fault:
    match problem.code:
        case ResultCode.PLATFORM_CONFLICT:
            return fault(ResultCode.CHANGE_CONFLICT, f"{what}: {problem.detail}")
        case ResultCode.PLATFORM_AMBIGUOUS:
            return fault(ResultCode.CHANGE_AMBIGUOUS, f"{what}: {problem.detail}")
    return problem
