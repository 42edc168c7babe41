"""Polls targets for their load and shares the reports between hosts.

Every host needs every target's load each second.  If each host polled all
targets itself, 340 hosts would send 750,000 requests a second to 2,200 targets.
So each target is polled by one host of its zone, chosen by rendezvous hashing,
which sends the reports to the other hosts of the zone, or to all hosts in a
small fleet.  The round gets longer with the number of bytes sent, which keeps
the traffic of each host constant.
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

FALLBACK_AFTER_ROUNDS = 3
"""Rounds without a report after which the second-ranked host also polls a target:
the first one may be dead, or have no network path to the target."""

SEND_BYTES_PER_S = 1_200.0
"""Half of a host's 3 KB a second, datagram overhead included.  Rounds get longer to
keep to this limit."""

DATAGRAM_OVERHEAD_BYTES = 120
"""Header, code and sender of one datagram, and its UDP and IP headers."""

FULL_REPORT_EVERY_ROUNDS = 20
"""Rounds after which an unchanged report is sent in full again, for hosts that
missed it.  A report is also sent in full when more than its counts changed.  A
brief report takes 14 bytes, a full one 70."""

SMALL_FLEET_MAX_HOSTS = 12
"""Up to this number of hosts, reports go to all zones; above it, only totals do."""

MAX_POLLS_PER_S = 50
CONCURRENT_POLLS = 16
POLL_TIMEOUT_S = 1.0

FULL_REPORT_ROUNDS_AFTER_CHANGE = 3
"""Sent in several rounds: if a single datagram with changed layers were lost, hosts
would miss the change until the next scheduled full report."""

REPORTS_PER_DATAGRAM = 10
BRIEFS_PER_DATAGRAM = 60
"""Ten full reports with ids of 30 characters, or 60 brief ones, take about 900 B."""

TOTALS_PERIOD_S = 10.0
TOTALS_PERIOD_PER_MEMBER_S = 0.1
"""With 340 hosts: totals of 17 zones every 34 s, about 250 B/s to each host."""


@dataclass(slots=True, frozen=True)
class PollerSettings:
    """Identity of this host, and the minimum time between polling rounds."""

    host: str
    zone: str
    period_s: float = 1.0


@dataclass(slots=True, frozen=True)
class ZoneLoad:
    """Total load of a zone's targets."""

    zone: str
    targets: int
    slots: int
    in_flight: int
    queued: int


class LoadPoller:
    """A service that polls targets and forwards their load reports.

    Parameters
    ----------
    on_report : callable
        Called with each report, polled or received, after the directory.
    """

    __slots__ = (
        "_rng",
        "_changed_round_by_id",
        "_clock",
        "_directory",
        "_facts",
        "_received_at_by_id",
        "_newest_by_hash",
        "_newest_by_id",
        "_on_report",
        "_peers",
        "_port",
        "_round",
        "_round_s",
        "_settings",
        "_last_sent_by_id",
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
        rng: random.Random | None = None,
    ):
        self._settings = settings
        self._port = port
        self._directory = directory
        self._peers = peers
        self._facts = facts
        self._clock = clock
        self._on_report = on_report
        self._rng = rng or random.Random()
        self._newest_by_id: dict[str, LoadReport] = {}
        self._newest_by_hash: dict[int, LoadReport] = {}
        self._received_at_by_id: dict[str, float] = {}
        self._last_sent_by_id: dict[str, LoadReport] = {}
        self._changed_round_by_id: dict[str, int] = {}
        self._round = 0
        self._round_s = settings.period_s
        self.polls = 0
        self.failures = 0
        peers.hear(LOADS_TOPIC, self._receive)

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Poll targets and send reports in rounds, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_rounds)
            nursery.start_soon(self._announce_rounds)
            task_status.started()

    def assigned_targets(self) -> Sequence[Target]:
        """Return the targets that this host polls."""
        live = self._live()
        in_zone = [member.id for member in live if member.zone == self._settings.zone]
        zones_with_hosts = {member.zone for member in live}
        all_ids = [member.id for member in live]
        return [
            target
            for target in self._directory.targets()
            if target.state is not TargetState.GONE
            and self._is_polled_here(target, in_zone, all_ids, zones_with_hosts)
        ]

    def zone_loads(self) -> Sequence[ZoneLoad]:
        """Return the newest known totals of each zone."""
        return [
            msgspec.json.decode(fact.value, type=ZoneLoad)
            for fact in self._facts.all_of(ZONE_LOAD_KIND)
        ]

    async def _poll_rounds(self) -> None:
        while True:
            started = self._clock.now()
            targets = self.assigned_targets()
            reports = await self._poll(targets)
            sent_bytes = await self._send_reports(reports)
            self._round += 1
            self._round_s = max(
                self._settings.period_s,
                sent_bytes / SEND_BYTES_PER_S,
                len(targets) / MAX_POLLS_PER_S,
            )
            wait_s = self._round_s - (self._clock.now() - started)
            await trio.sleep(max(0.0, wait_s) * self._rng.uniform(0.9, 1.1))

    async def _send_reports(self, reports: Sequence[LoadReport]) -> int:
        """Send reports to the other hosts, and return the number of bytes sent."""
        receivers = self._receivers()
        full = [report for report in reports if self._is_sent_in_full(report)]
        full_ids = {report.target_id for report in full}
        briefs = [
            _wire.BriefLoad(
                _hash(report.target_id), report.in_flight, report.queued, report.step_s
            )
            for report in reports
            if report.target_id not in full_ids
        ]
        batches = [
            _wire.LoadBatch(full[first : first + REPORTS_PER_DATAGRAM], [])
            for first in range(0, len(full), REPORTS_PER_DATAGRAM)
        ]
        batches += [
            _wire.LoadBatch([], briefs[first : first + BRIEFS_PER_DATAGRAM])
            for first in range(0, len(briefs), BRIEFS_PER_DATAGRAM)
        ]
        sent_bytes = 0
        for batch in batches:
            payload = _wire.encode_loads(batch)
            await self._peers.tell(receivers, LOADS_TOPIC, payload)
            sent_bytes += len(receivers) * (len(payload) + DATAGRAM_OVERHEAD_BYTES)
        return sent_bytes

    def _is_sent_in_full(self, report: LoadReport) -> bool:
        """Return whether to send a full report now, and record the report as sent.

        The repeated full reports of different targets fall into different rounds.
        """
        last_sent = self._last_sent_by_id.get(report.target_id)
        self._last_sent_by_id[report.target_id] = report
        if last_sent is None or _without_counts(last_sent) != _without_counts(report):
            self._changed_round_by_id[report.target_id] = self._round
        unchanged_rounds = self._round - self._changed_round_by_id[report.target_id]
        full_round = _hash(report.target_id) % FULL_REPORT_EVERY_ROUNDS
        return (
            unchanged_rounds < FULL_REPORT_ROUNDS_AFTER_CHANGE
            or self._round % FULL_REPORT_EVERY_ROUNDS == full_round
        )

    async def _poll(self, targets: Sequence[Target]) -> Sequence[LoadReport]:
        limit = trio.CapacityLimiter(CONCURRENT_POLLS)
        reports: list[LoadReport] = []

        async def poll(target: Target) -> None:
            async with limit:
                with trio.move_on_after(POLL_TIMEOUT_S):
                    self._handle_answer(await self._port.load(target), reports)

        async with trio.open_nursery() as nursery:
            for target in targets:
                nursery.start_soon(poll, target)
        self.polls += len(targets)
        self.failures += len(targets) - len(reports)
        return reports

    def _handle_answer(self, answer: Result, reports: list[LoadReport]) -> None:
        if answer.is_ok():
            reports.append(answer.ok)
            self._record(answer.ok)

    def _receive(self, sender: str, payload: bytes) -> None:
        decoded = _wire.decode_loads(payload)
        if decoded.is_error():
            return
        for report in decoded.ok.reports:
            self._record(report)
        for brief in decoded.ok.briefs:
            known = self._newest_by_hash.get(brief.target_hash)
            if known is not None:
                self._record(
                    dataclasses.replace(
                        known,
                        in_flight=brief.in_flight,
                        queued=brief.queued,
                        step_s=brief.step_s,
                        measured_s_ago=0.0,
                    )
                )

    def _record(self, report: LoadReport) -> None:
        self._newest_by_id[report.target_id] = report
        self._newest_by_hash[_hash(report.target_id)] = report
        self._received_at_by_id[report.target_id] = self._clock.now()
        self._directory.observe_report(report)
        self._on_report(report)

    async def _announce_rounds(self) -> None:
        """Announce this zone's totals periodically, from one host of the zone."""
        while True:
            members = self._live()
            period_s = max(TOTALS_PERIOD_S, len(members) * TOTALS_PERIOD_PER_MEMBER_S)
            await trio.sleep(period_s * self._rng.uniform(0.9, 1.1))
            zone = self._settings.zone
            in_zone = [member.id for member in self._live() if member.zone == zone]
            if ranked(in_zone, f"sum {zone}")[:1] == [self._settings.host]:
                self._announce_totals()

    def _announce_totals(self) -> None:
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
        # Wall-clock seconds: a host that takes over the duty without having
        # received the last totals would otherwise send an older version, which
        # would be ignored.
        version = max(int(time.time()), 0 if known is None else known.version + 1)
        value = msgspec.json.encode(load)
        self._facts.learn(StoredObject(ZONE_LOAD_KIND, zone, version, value))

    def _is_polled_here(
        self,
        target: Target,
        in_zone: Sequence[str],
        all_ids: Sequence[str],
        zones_with_hosts: set[str],
    ) -> bool:
        """Return whether this host polls a target.

        A host polls targets of its own zone and of zones without hosts.  Targets
        of other zones are skipped before anything is hashed.
        """
        if target.zone == self._settings.zone:
            candidates = in_zone
        elif target.zone in zones_with_hosts:
            return False
        else:
            candidates = all_ids
        order = ranked(candidates, target.id)
        if order[:1] == [self._settings.host]:
            return True
        return order[1:2] == [self._settings.host] and self._is_overdue(target.id)

    def _is_overdue(self, target_id: str) -> bool:
        """Return whether the first-ranked host appears not to poll a target."""
        received_at = self._received_at_by_id.get(target_id)
        max_wait_s = FALLBACK_AFTER_ROUNDS * self._round_s
        return received_at is None or self._clock.now() - received_at > max_wait_s

    def _receivers(self) -> Sequence[str]:
        live = self._live()
        return [
            member.id
            for member in live
            if member.id != self._settings.host
            and (
                len(live) <= SMALL_FLEET_MAX_HOSTS or member.zone == self._settings.zone
            )
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
