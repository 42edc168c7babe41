"""Directory of all targets and of which may receive new work.

A target is marked as leaving when any of these says so: the platform's host
list has its host as leaving, an operator drains the target, its host or its
zone, or its own load report has the leaving flag.  What any host learns is sent
to the others as a "leaving" fact, so that the mark also holds without the
platform.

The mark stays until the target reports a new incarnation.  The platform's list
lags: a copy older than the previous one would otherwise make a leaving target
available again for seconds, and work would be lost on it.  An operator's drain
does not persist in this way; it ends when the operator revokes it.
"""

import dataclasses
from collections.abc import Sequence

import msgspec
import trio

from radishfield.core import (
    Clock,
    Host,
    HostListing,
    HostState,
    LoadReport,
    MemberState,
    StoredObject,
    Target,
    TargetState,
)
from radishfield.fleet._facts import FactTable
from radishfield.fleet._ports import PeerMessages
from radishfield.fleet._status import Drain, DrainKind

TARGET_KIND = "target"
DRAIN_KIND = "drain"
HOST_KIND = "host"

LEAVING_KIND = "leaving"
"""Facts between entry hosts: name is the target's id, version its incarnation."""

LIST_LAG_S = 30.0
"""Maximum age of a copy of the platform's list.  During this time a target that
restarted on a host listed as leaving counts as live, since the list may refer to
its previous incarnation, and a host may be missing from the list, since a copy
from before the host was added lacks it.  After that the list is authoritative."""


class TargetDirectory:
    """State of all targets as known to this host.

    Attributes
    ----------
    version : int
        Incremented whenever the result of `targets` changes.
    malformed : int
        Number of platform objects that could not be decoded.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_declared_by_id",
        "_facts",
        "_last_listed_by_host",
        "_listed_by_host",
        "_peers",
        "_report_by_id",
        "_restarted_at_by_id",
        "_target_by_id",
        "_targets",
        "_zone",
        "malformed",
        "version",
    )

    def __init__(self, zone: str, facts: FactTable, peers: PeerMessages, clock: Clock):
        self._zone = zone
        self._facts = facts
        self._peers = peers
        self._clock = clock
        self._declared_by_id: dict[str, Target] = {}
        self._report_by_id: dict[str, LoadReport] = {}
        self._target_by_id: dict[str, Target] = {}
        self._targets: tuple[Target, ...] | None = None
        self._restarted_at_by_id: dict[str, float] = {}
        self._listed_by_host: dict[str, Host] = {}
        self._last_listed_by_host: dict[str, float] = {}
        self._changed = trio.Event()
        self.version = 0
        self.malformed = 0
        for kind, listener in (
            (TARGET_KIND, self._apply_target),
            (DRAIN_KIND, self._apply_drain),
            (LEAVING_KIND, self._apply_leaving),
            (HOST_KIND, self._apply_host),
        ):
            facts.listen(kind, listener)
            for fact in facts.all_of(kind):
                listener(fact)

    def targets(self) -> tuple[Target, ...]:
        """Return all targets with the state that decides whether they get new work."""
        if self._targets is None:
            self._targets = tuple(self._target_by_id.values())
        return self._targets

    def find(self, target_id: str) -> Target | None:
        """Return the target with this id, or None."""
        return self._target_by_id.get(target_id)

    async def wait_changed(self, version: int) -> int:
        """Wait until `version` differs from the given one, and return it."""
        while self.version == version:
            await self._changed.wait()
        return self.version

    def entry_host_count_in_zone(self) -> int:
        """Return how many live entry hosts share this zone's targets, at least 1."""
        live = sum(
            member.zone == self._zone and member.state is MemberState.LIVE
            for member in self._peers.members()
        )
        return max(1, live)

    def mark_leaving(self, target_id: str, incarnation: int) -> None:
        """Exclude a target from new work at all hosts until a later incarnation."""
        self._facts.learn(StoredObject(LEAVING_KIND, target_id, incarnation, b""))

    def observe_report(self, report: LoadReport) -> None:
        """Record a target's load report; mark the target as leaving if it says so."""
        known = self._report_by_id.get(report.target_id)
        if known is not None and known.incarnation > report.incarnation:
            return
        self._report_by_id[report.target_id] = report
        if report.leaving:
            self.mark_leaving(report.target_id, report.incarnation)
        self._rebuild(report.target_id)

    def observe_hosts(self, listing: HostListing) -> None:
        """Apply the platform's list of hosts, which may be out of date.

        A host that was listed before, and has been missing for longer than
        `LIST_LAG_S`, counts as leaving.  An empty list is ignored: after a
        non-empty one it is a fault of the platform.
        """
        if not listing.hosts:
            return
        now = self._clock.now()
        for host in listing.hosts:
            self._listed_by_host[host.id] = host
            self._last_listed_by_host[host.id] = now
        self._peers.add_seeds(self.seed_addresses())
        leaving = {
            host.id
            for host in self._listed_by_host.values()
            if host.state is HostState.LEAVING
            or now - self._last_listed_by_host[host.id] > LIST_LAG_S
        }
        for target in self.targets():
            if target.host in leaving and not self._has_just_restarted(target.id):
                self.mark_leaving(target.id, target.incarnation)

    def seed_addresses(self) -> Sequence[str]:
        """Return the peer addresses of the entry hosts that the platform lists."""
        hosts = list(self._listed_by_host.values())
        for fact in self._facts.all_of(HOST_KIND):
            try:
                hosts.append(msgspec.json.decode(fact.value, type=Host))
            except msgspec.DecodeError:
                self.malformed += 1
        return [host.address for host in hosts if host.address]

    def drains(self) -> Sequence[Drain]:
        """Return the active drains."""
        drains = []
        for fact in self._facts.all_of(DRAIN_KIND):
            try:
                drain = msgspec.json.decode(fact.value, type=Drain)
            except msgspec.DecodeError:
                continue
            if drain.active:
                drains.append(drain)
        return drains

    def _apply_target(self, fact: StoredObject) -> None:
        try:
            target = msgspec.json.decode(fact.value, type=Target)
        except msgspec.DecodeError:
            self.malformed += 1
            return
        self._declared_by_id[target.id] = target
        self._rebuild(target.id)

    def _apply_drain(self, fact: StoredObject) -> None:
        for target_id in self._declared_by_id:
            self._rebuild(target_id)

    def _apply_leaving(self, fact: StoredObject) -> None:
        self._rebuild(fact.name)

    def _apply_host(self, fact: StoredObject) -> None:
        self._peers.add_seeds(self.seed_addresses())

    def _rebuild(self, target_id: str) -> None:
        """Recompute one target, and notify waiting tasks if it has changed."""
        declared = self._declared_by_id.get(target_id)
        if declared is None:
            return
        target = self._with_report(declared)
        target = dataclasses.replace(target, state=self._state(target))
        known = self._target_by_id.get(target_id)
        if known == target:
            return
        if known is not None and target.incarnation > known.incarnation:
            self._restarted_at_by_id[target_id] = self._clock.now()
        self._target_by_id[target_id] = target
        self._targets = None
        self.version += 1
        self._changed.set()
        self._changed = trio.Event()

    def _with_report(self, declared: Target) -> Target:
        """Return a target updated from the report of its newest incarnation."""
        report = self._report_by_id.get(declared.id)
        if report is None or report.incarnation < declared.incarnation:
            return declared
        return dataclasses.replace(
            declared,
            incarnation=report.incarnation,
            layers=report.layers,
            model=report.model or declared.model,
            model_version=report.model_version or declared.model_version,
            slots=report.slots or declared.slots,
            checks_fencing=report.checks_fencing,
        )

    def _state(self, target: Target) -> TargetState:
        if target.state is TargetState.GONE:
            return TargetState.GONE
        leaving = self._facts.find(LEAVING_KIND, target.id)
        if leaving is not None and leaving.version >= target.incarnation:
            return TargetState.LEAVING
        if self._is_drained(target):
            return TargetState.LEAVING
        return target.state

    def _is_drained(self, target: Target) -> bool:
        for kind, name in (
            (DrainKind.TARGET, target.id),
            (DrainKind.HOST, target.host),
            (DrainKind.ZONE, target.zone),
        ):
            fact = self._facts.find(DRAIN_KIND, drain_name(kind, name))
            if fact is not None and _is_active(fact.value):
                return True
        return False

    def _has_just_restarted(self, target_id: str) -> bool:
        restarted_at = self._restarted_at_by_id.get(target_id)
        if restarted_at is None:
            return False
        return self._clock.now() - restarted_at < LIST_LAG_S


def drain_name(kind: DrainKind, id: str) -> str:
    """Return the name under which the platform stores a drain."""
    return f"{kind}:{id}"


def _is_active(value: bytes) -> bool:
    """Return whether a drain is active; an unreadable one is, to be safe."""
    try:
        return msgspec.json.decode(value, type=Drain).active
    except msgspec.DecodeError:
        return True
