"""Which host asks which target for its load, and how the answers are shared.

Pattern of load: every host wants every target's load each second.  If each
asked for itself, 340 hosts would put 750,000 requests a second on 2,200
targets.  So each target is asked by one host of its zone, chosen by rendezvous
hashing, and it tells the reports to the other hosts of the zone, in a small
fleet to all.  The round gets longer with the bytes told, which keeps what a
host sends and receives level.
"""

import dataclasses
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec
import trio
import xxhash
from expression import Result

from radishfield.core import (
    Clock,
    LoadReport,
    Member,
    MemberState,
    StoredObject,
    Target,
    TargetPort,
    TargetState,
)
from radishfield.fleet import _wire
from radishfield.fleet._directory import TargetDirectory
from radishfield.fleet._facts import ZONE_LOAD_KIND, FactTable
from radishfield.fleet._ports import PeerMessages
from radishfield.fleet._rendezvous import ranked

LOADS_TOPIC = "loads"

STAND_IN_AFTER_ROUNDS = 3
"""The second host in a target's order asks it after so many rounds without a
report: the first one may be dead, or have no path to the target."""

TOLD_BYTES_PER_S = 1_200.0
"""Half of a host's 3 KB a second, frames included; rounds get longer to keep it."""

FRAME_BYTES = 120
"""Head, code, sender and UDP and IP heads of one datagram."""

WHOLE_EVERY_ROUNDS = 20
"""A report goes out in whole when more than its counts changed, and each so many
rounds for those who missed it; in brief it takes 14 bytes instead of 70."""

SMALL_FLEET = 12
"""Up to so many hosts, reports go to all zones; above, only sums do."""

MAX_POLLS_PER_S = 50
CONCURRENT_POLLS = 16
POLL_TIMEOUT_S = 1.0

WHOLE_ROUNDS_AFTER_CHANGE = 3
"""A change of layers whose datagram is lost would go unseen until the next turn."""

REPORTS_PER_DATAGRAM = 10
BRIEFS_PER_DATAGRAM = 60
"""Ten reports with ids of 30 characters, or 60 in brief, take about 900 bytes."""

SUM_PERIOD_S = 10.0
SUM_PERIOD_PER_MEMBER_S = 0.1
"""340 hosts: sums of 17 zones every 34 s, about 250 B/s to each host."""


@dataclass(slots=True, frozen=True)
class PollerSettings:
    """Who this host is, and how often it asks at the most."""

    host: str
    zone: str
    period_s: float = 1.0


@dataclass(slots=True, frozen=True)
class ZoneLoad:
    """The load of a zone's targets together."""

    zone: str
    targets: int
    slots: int
    in_flight: int
    queued: int


class LoadPoller:
    """A service that gathers load reports and hands them on.

    Parameters
    ----------
    on_report : callable
        Gets each report, the own and the told ones; the directory has had it.
    """

    __slots__ = (
        "_chance",
        "_changed_round_by_id",
        "_clock",
        "_directory",
        "_facts",
        "_heard_at_by_id",
        "_newest_by_hash",
        "_newest_by_id",
        "_on_report",
        "_peers",
        "_port",
        "_round",
        "_round_s",
        "_settings",
        "_told_by_id",
        "failures",
        "polls",
    )

    def __init__(
        self,
        settings: PollerSettings,
        port: TargetPort,
        directory: TargetDirectory,
        peers: PeerMessages,
        facts: FactTable,
        clock: Clock,
        on_report: Callable[[LoadReport], None] = lambda report: None,
        chance: random.Random | None = None,
    ):
        self._settings = settings
        self._port = port
        self._directory = directory
        self._peers = peers
        self._facts = facts
        self._clock = clock
        self._on_report = on_report
        self._chance = chance or random.Random()
        self._newest_by_id: dict[str, LoadReport] = {}
        self._newest_by_hash: dict[int, LoadReport] = {}
        self._heard_at_by_id: dict[str, float] = {}
        self._told_by_id: dict[str, LoadReport] = {}
        self._changed_round_by_id: dict[str, int] = {}
        self._round = 0
        self._round_s = settings.period_s
        self.polls = 0
        self.failures = 0
        peers.hear(LOADS_TOPIC, self._hear)

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Ask and tell in rounds, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_rounds)
            nursery.start_soon(self._tell_sums)
            task_status.started()

    def own_targets(self) -> Sequence[Target]:
        """Return the targets that this host is to ask."""
        live = self._live()
        in_zone = [member.id for member in live if member.zone == self._settings.zone]
        zones_with_hosts = {member.zone for member in live}
        everybody = [member.id for member in live]
        return [
            target
            for target in self._directory.targets()
            if target.state is not TargetState.GONE
            and self._is_asked_here(target, in_zone, everybody, zones_with_hosts)
        ]

    def zone_loads(self) -> Sequence[ZoneLoad]:
        """Return the newest sum heard of each zone."""
        return [
            msgspec.json.decode(fact.value, type=ZoneLoad)
            for fact in self._facts.all_of(ZONE_LOAD_KIND)
        ]

    async def _poll_rounds(self) -> None:
        while True:
            started = self._clock.now()
            targets = self.own_targets()
            reports = await self._poll(targets)
            told = await self._tell(reports)
            self._round += 1
            self._round_s = max(
                self._settings.period_s,
                told / TOLD_BYTES_PER_S,
                len(targets) / MAX_POLLS_PER_S,
            )
            rest_s = self._round_s - (self._clock.now() - started)
            await trio.sleep(max(0.0, rest_s) * self._chance.uniform(0.9, 1.1))

    async def _tell(self, reports: Sequence[LoadReport]) -> int:
        """Tell the other hosts, and return the bytes that it took."""
        receivers = self._receivers()
        whole = [report for report in reports if self._is_told_whole(report)]
        whole_ids = {report.target_id for report in whole}
        brief = [
            _wire.BriefLoad(
                _hash(report.target_id), report.in_flight, report.queued, report.step_s
            )
            for report in reports
            if report.target_id not in whole_ids
        ]
        batches = [
            _wire.LoadBatch(whole[first : first + REPORTS_PER_DATAGRAM], [])
            for first in range(0, len(whole), REPORTS_PER_DATAGRAM)
        ]
        batches += [
            _wire.LoadBatch([], brief[first : first + BRIEFS_PER_DATAGRAM])
            for first in range(0, len(brief), BRIEFS_PER_DATAGRAM)
        ]
        told = 0
        for batch in batches:
            payload = _wire.encode_loads(batch)
            await self._peers.tell(receivers, LOADS_TOPIC, payload)
            told += len(receivers) * (len(payload) + FRAME_BYTES)
        return told

    def _is_told_whole(self, report: LoadReport) -> bool:
        """Tell whether a report goes out in whole; each target in its own round."""
        told = self._told_by_id.get(report.target_id)
        self._told_by_id[report.target_id] = report
        if told is None or _without_counts(told) != _without_counts(report):
            self._changed_round_by_id[report.target_id] = self._round
        unchanged_rounds = self._round - self._changed_round_by_id[report.target_id]
        turn = _hash(report.target_id) % WHOLE_EVERY_ROUNDS
        return (
            unchanged_rounds < WHOLE_ROUNDS_AFTER_CHANGE
            or self._round % WHOLE_EVERY_ROUNDS == turn
        )

    async def _poll(self, targets: Sequence[Target]) -> Sequence[LoadReport]:
        limit = trio.CapacityLimiter(CONCURRENT_POLLS)
        reports: list[LoadReport] = []

        async def poll(target: Target) -> None:
            async with limit:
                with trio.move_on_after(POLL_TIMEOUT_S):
                    self._take_answer(await self._port.load(target), reports)

        async with trio.open_nursery() as nursery:
            for target in targets:
                nursery.start_soon(poll, target)
        self.polls += len(targets)
        self.failures += len(targets) - len(reports)
        return reports

    def _take_answer(self, answer: Result, reports: list[LoadReport]) -> None:
        if answer.is_ok():
            reports.append(answer.ok)
            self._take_in(answer.ok)

    def _hear(self, sender: str, payload: bytes) -> None:
        decoded = _wire.decode_loads(payload)
        if decoded.is_error():
            return
        for report in decoded.ok.reports:
            self._take_in(report)
        for brief in decoded.ok.briefs:
            known = self._newest_by_hash.get(brief.target_hash)
            if known is not None:
                self._take_in(
                    dataclasses.replace(
                        known,
                        in_flight=brief.in_flight,
                        queued=brief.queued,
                        step_s=brief.step_s,
                        measured_s_ago=0.0,
                    )
                )

    def _take_in(self, report: LoadReport) -> None:
        self._newest_by_id[report.target_id] = report
        self._newest_by_hash[_hash(report.target_id)] = report
        self._heard_at_by_id[report.target_id] = self._clock.now()
        self._directory.observe_report(report)
        self._on_report(report)

    async def _tell_sums(self) -> None:
        """Tell other zones this zone's sum, from one host of the zone."""
        while True:
            members = self._live()
            period_s = max(SUM_PERIOD_S, len(members) * SUM_PERIOD_PER_MEMBER_S)
            await trio.sleep(period_s * self._chance.uniform(0.9, 1.1))
            zone = self._settings.zone
            in_zone = [member.id for member in self._live() if member.zone == zone]
            if ranked(in_zone, f"sum {zone}")[:1] == [self._settings.host]:
                self._tell_sum()

    def _tell_sum(self) -> None:
        zone = self._settings.zone
        reports = [
            self._newest_by_id[target.id]
            for target in self._directory.targets()
            if target.zone == zone and target.id in self._newest_by_id
        ]
        load = ZoneLoad(
            zone,
            len(reports),
            sum(report.slots for report in reports),
            sum(report.in_flight for report in reports),
            sum(report.queued for report in reports),
        )
        known = self._facts.find(ZONE_LOAD_KIND, zone)
        # Wall-clock seconds, so that a host that takes the duty over without
        # having heard the last sum is not ignored as older.
        version = max(int(time.time()), 0 if known is None else known.version + 1)
        value = msgspec.json.encode(load)
        self._facts.learn(StoredObject(ZONE_LOAD_KIND, zone, version, value))

    def _is_asked_here(
        self,
        target: Target,
        in_zone: Sequence[str],
        everybody: Sequence[str],
        zones_with_hosts: set[str],
    ) -> bool:
        """Tell whether this host asks a target: of its zone, or of one without hosts.

        Targets of other zones are passed over before anything is hashed.
        """
        if target.zone == self._settings.zone:
            candidates = in_zone
        elif target.zone in zones_with_hosts:
            return False
        else:
            candidates = everybody
        order = ranked(candidates, target.id)
        if order[:1] == [self._settings.host]:
            return True
        return order[1:2] == [self._settings.host] and self._is_unheard(target.id)

    def _is_unheard(self, target_id: str) -> bool:
        """Tell whether the first host in a target's order seems not to ask it."""
        heard_at = self._heard_at_by_id.get(target_id)
        patience_s = STAND_IN_AFTER_ROUNDS * self._round_s
        return heard_at is None or self._clock.now() - heard_at > patience_s

    def _receivers(self) -> Sequence[str]:
        live = self._live()
        return [
            member.id
            for member in live
            if member.id != self._settings.host
            and (len(live) <= SMALL_FLEET or member.zone == self._settings.zone)
        ]

    def _live(self) -> Sequence[Member]:
        return [
            member
            for member in self._peers.members()
            if member.state in (MemberState.LIVE, MemberState.SUSPECT)
        ]


def _hash(target_id: str) -> int:
    return xxhash.xxh64_intdigest(target_id.encode())


def _without_counts(report: LoadReport) -> LoadReport:
    return dataclasses.replace(
        report, in_flight=0, queued=0, step_s=0.0, measured_s_ago=0.0
    )
