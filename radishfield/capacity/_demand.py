"""What callers ask for by rank and workspace: one host's meter, and the sum of all.

Load: less urgent work, or one workspace, asks for more than there is room for, through
one host or all.  A host that only knows its own callers takes the room that others'
urgent bursts need.  So hosts tell each other what their callers ask for, and every host
decides from the same sum.

The messages are bounded.  With 42,000 workspaces only the heaviest matter: a workspace
that is not among them holds less than its fair share.
"""

import hashlib
import heapq
import math
from collections import Counter, deque
from collections.abc import Iterable, Mapping

import msgspec

from radishfield.capacity._data import RankDemand, ServiceDemand, WorkspaceUse

RATE_WINDOW_S = 1.0
"""Time over which arrivals are counted: several statuses of each host, so that the
sums of hosts are about the same moment, and shorter than any burst that matters."""

WORKSPACE_WINDOW_S = 2.0
"""The same for workspaces, of which a small one sends one or two streams a second."""

MAX_RANK = 99
MAX_RANKS = 10
"""Ranks that a message names, the most urgent ones."""
MAX_WORKSPACES = 8
"""Workspaces that a host names.  A workspace that holds a fifth of the fleet through
all hosts is among the first five of most of them."""
MAX_SUMMED_WORKSPACES = 16
MAX_NAME_BYTES = 32
"""Length from which a workspace is told by a digest of its name."""
DIGEST_BYTES = 12
"""Two of 42,000 names have one digest with a probability below 1e-19."""
MAX_NAME = 128
"""Characters of a service's or workspace's name that is believed."""
MAX_SERVICES = 16
"""Services of one report that are believed."""
MAX_HOST_STREAMS, MAX_HOST_STARTS_PER_S = 20_000, 5_000
"""Largest amounts of one host that are believed: several times what a process can
hold open and accept."""
MAX_ZONE_HOSTS = 200
"""Multiple of these amounts that is believed of a zone."""
REPORT_LIFE_S = 1.5
"""Age from which a report counts for nothing: six statuses of a host."""


class DemandMeter(msgspec.Struct):
    """Counts the streams of one service at one host, by rank and workspace."""

    _arrivals: deque[tuple[float, str]] = msgspec.field(default_factory=deque)
    _rank_arrivals: deque[tuple[float, int]] = msgspec.field(default_factory=deque)
    _arrived_by_rank: Counter[int] = msgspec.field(default_factory=Counter)
    _waiting_by_rank: Counter[int] = msgspec.field(default_factory=Counter)
    _running_by_rank: Counter[int] = msgspec.field(default_factory=Counter)
    _running_by_workspace: dict[str, float] = msgspec.field(default_factory=dict)

    def arrived(self, rank: int, workspace: str, now: float) -> None:
        """Count a new stream, whether it starts or not."""
        rank = _bounded_rank(rank)
        self._arrivals.append((now, workspace))
        self._rank_arrivals.append((now, rank))
        self._arrived_by_rank[rank] += 1
        self._drop_old_arrivals(now)

    def waits(self, rank: int, sign: int = 1) -> None:
        """Count a stream that begins to wait, or with ``sign`` -1 ends it."""
        _add(self._waiting_by_rank, _bounded_rank(rank), sign)

    def runs(self, rank: int, workspace: str, size: float, sign: int = 1) -> None:
        """Count a stream that starts, or with ``sign`` -1 ends.

        Parameters
        ----------
        size : float
            In streams of typical size.
        """
        _add(self._running_by_rank, _bounded_rank(rank), sign)
        held = self._running_by_workspace.get(workspace, 0.0) + sign * size
        if held > 1e-6:
            self._running_by_workspace[workspace] = held
        else:
            self._running_by_workspace.pop(workspace, None)

    def contenders(self, rank: int | None, within_s: float, now: float) -> float:
        """Return the streams of a rank that wait, or should arrive within some time.

        Parameters
        ----------
        rank : int or None
            None for all ranks.
        """
        self._drop_old_arrivals(now)
        if rank is None:
            waiting = self._waiting_by_rank.total()
            arrived = len(self._rank_arrivals)
        else:
            waiting = self._waiting_by_rank[rank]
            arrived = self._arrived_by_rank[rank]
        return waiting + arrived / RATE_WINDOW_S * within_s

    def report(self, service: str, now: float) -> ServiceDemand:
        """Return what the callers of this host ask for."""
        self._drop_old_arrivals(now)
        arrived_by_rank = self._arrived_by_rank
        arrived_by_workspace = Counter(name for _, name in self._arrivals)
        ranks = sorted(
            arrived_by_rank.keys()
            | self._waiting_by_rank.keys()
            | self._running_by_rank.keys()
        )
        running = self._running_by_workspace
        weights = {
            name: held + arrived_by_workspace[name] / WORKSPACE_WINDOW_S
            for name, held in running.items()
        }
        for name, arrived in arrived_by_workspace.items():
            weights.setdefault(name, arrived / WORKSPACE_WINDOW_S)
        heaviest = [
            WorkspaceUse(
                told_name(name),
                _short(running.get(name, 0.0)),
                _short(arrived_by_workspace[name] / WORKSPACE_WINDOW_S),
            )
            for _, name in heapq.nlargest(
                MAX_WORKSPACES, ((weight, name) for name, weight in weights.items())
            )
        ]
        return ServiceDemand(
            service,
            [
                RankDemand(
                    rank,
                    _short(arrived_by_rank[rank] / RATE_WINDOW_S),
                    self._waiting_by_rank[rank],
                    self._running_by_rank[rank],
                )
                for rank in ranks[:MAX_RANKS]
            ],
            heaviest,
        )

    def _drop_old_arrivals(self, now: float) -> None:
        while self._arrivals and self._arrivals[0][0] <= now - WORKSPACE_WINDOW_S:
            self._arrivals.popleft()
        arrivals = self._rank_arrivals
        while arrivals and arrivals[0][0] <= now - RATE_WINDOW_S:
            _add(self._arrived_by_rank, arrivals.popleft()[1], -1)


class _Report(msgspec.Struct, frozen=True):
    at: float
    zone: str
    demand_by_service: Mapping[str, ServiceDemand]


class DemandTable(msgspec.Struct):
    """What other hosts and zones report of their callers."""

    _report_by_host: dict[str, _Report] = msgspec.field(default_factory=dict)
    _total_by_zone: dict[str, _Report] = msgspec.field(default_factory=dict)

    def report_remote(
        self, host: str, zone: str, demands: Iterable[ServiceDemand], now: float
    ) -> None:
        """Store what another host reports; what can't be true is left out."""
        sound = _sound_by_service(demands, hosts=1)
        if sound:
            self._report_by_host[host] = _Report(now, zone, sound)
        else:
            self._report_by_host.pop(host, None)

    def take_total(
        self, zone: str, demands: Iterable[ServiceDemand], at: float
    ) -> None:
        """Store the sum of a zone, unless a later one is known.

        One without any service comes from a host that does not add up demand, and
        does not stand for the zone's hosts.
        """
        known = self._total_by_zone.get(zone)
        if known is not None and at <= known.at:
            return
        sound = _sound_by_service(demands, hosts=MAX_ZONE_HOSTS)
        if sound:
            self._total_by_zone[zone] = _Report(at, zone, sound)

    def total_of(self, zone: str, at: float) -> list[ServiceDemand]:
        """Return the sum of a zone that was made at a time, to be told on with it.

        An older one would be told on as new, and live for ever between two hosts.
        """
        known = self._total_by_zone.get(zone)
        if known is None or known.at != at:
            return []
        return list(known.demand_by_service.values())

    def drop_old(self, now: float) -> None:
        """Forget the reports and sums that count for nothing."""
        for known_by_key in (self._report_by_host, self._total_by_zone):
            for key, item in list(known_by_key.items()):
                if not _is_fresh(item, now):
                    del known_by_key[key]

    def zone_total(
        self, own: Iterable[ServiceDemand], hosts: Iterable[str], now: float
    ) -> list[ServiceDemand]:
        """Return the sum of this host and some others, to be told to all."""
        reports = [self._report_by_host.get(host) for host in hosts]
        fresh = [item.demand_by_service for item in reports if _is_fresh(item, now)]
        own_by_service = {demand.service: demand for demand in own}
        services = set(own_by_service).union(*fresh) if fresh else set(own_by_service)
        return [
            sum_demands(
                service,
                [
                    demand_by_service[service]
                    for demand_by_service in (own_by_service, *fresh)
                    if service in demand_by_service
                ],
            )
            for service in sorted(services)
        ]

    def fleet(self, own: ServiceDemand, own_zone: str, now: float) -> ServiceDemand:
        """Return what the callers of all hosts ask for, as far as is known.

        A zone that sends a sum counts by its sum, the others by their hosts.  The sum
        of the own zone counts as no less than what this host knows of itself: it may
        come from a host that has just started and hears nobody.
        """
        self.drop_old(now)
        totals = self._total_by_zone
        reports = [item for zone, item in totals.items() if zone != own_zone]
        reports += [
            item for item in self._report_by_host.values() if item.zone not in totals
        ]
        demands = [own]
        if own_zone in totals:
            total = totals[own_zone].demand_by_service.get(own.service)
            demands = [_at_least(own, total)] if total is not None else [own]
        for item in reports:
            demand = item.demand_by_service.get(own.service)
            if demand is not None:
                demands.append(demand)
        return sum_demands(own.service, demands)


def fit_demands(demands: list[ServiceDemand], max_bytes: int) -> list[ServiceDemand]:
    """Return demands cut to a length: fewer workspaces, then fewer services."""
    most = MAX_SUMMED_WORKSPACES
    while demands and len(msgspec.msgpack.encode(demands)) > max_bytes:
        if most:
            most //= 2
            demands = [
                ServiceDemand(item.service, item.ranks, item.workspaces[:most])
                for item in demands
            ]
        else:
            demands = demands[:-1]
    return demands


def told_name(workspace: str) -> str:
    """Return the name by which a workspace is told to other hosts."""
    data = workspace.encode("utf-8", "surrogatepass")
    if len(data) <= MAX_NAME_BYTES:
        return workspace
    return "#" + hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def sum_demands(service: str, demands: Iterable[ServiceDemand]) -> ServiceDemand:
    """Return the sum by rank and by workspace, of these the heaviest."""
    rank_sums: dict[int, tuple[float, int, int]] = {}
    use_sums: dict[str, tuple[float, float]] = {}
    for demand in demands:
        for item in demand.ranks:
            rate, waiting, running = rank_sums.get(item.rank, (0.0, 0, 0))
            rank_sums[item.rank] = (
                rate + item.starts_per_s,
                waiting + item.waiting,
                running + item.running,
            )
        for use in demand.workspaces:
            held, rate = use_sums.get(use.workspace, (0.0, 0.0))
            use_sums[use.workspace] = (held + use.running, rate + use.starts_per_s)
    ranks = [
        RankDemand(rank, *rank_sums[rank]) for rank in sorted(rank_sums)[:MAX_RANKS]
    ]
    uses = [
        WorkspaceUse(name, _short(held), _short(rate))
        for name, (held, rate) in use_sums.items()
    ]
    return ServiceDemand(service, ranks, _heaviest(uses, MAX_SUMMED_WORKSPACES))


def merge_ranks(demand: ServiceDemand) -> ServiceDemand:
    """Return the demand as if all of it had rank 0."""
    merged = RankDemand(
        0,
        sum(item.starts_per_s for item in demand.ranks),
        sum(item.waiting for item in demand.ranks),
        sum(item.running for item in demand.ranks),
    )
    return ServiceDemand(demand.service, [merged], demand.workspaces)


def _heaviest(uses: list[WorkspaceUse], most: int) -> list[WorkspaceUse]:
    return heapq.nlargest(
        most, uses, key=lambda use: (use.running + use.starts_per_s, use.workspace)
    )


def _at_least(own: ServiceDemand, total: ServiceDemand) -> ServiceDemand:
    """Return a sum in which no amount is below that of one host."""
    rank_by_number = {item.rank: item for item in total.ranks}
    for item in own.ranks:
        known = rank_by_number.get(item.rank, item)
        rank_by_number[item.rank] = RankDemand(
            item.rank,
            max(item.starts_per_s, known.starts_per_s),
            max(item.waiting, known.waiting),
            max(item.running, known.running),
        )
    use_by_name = {use.workspace: use for use in total.workspaces}
    for use in own.workspaces:
        known = use_by_name.get(use.workspace, use)
        use_by_name[use.workspace] = WorkspaceUse(
            use.workspace,
            max(use.running, known.running),
            max(use.starts_per_s, known.starts_per_s),
        )
    return ServiceDemand(
        own.service, list(rank_by_number.values()), list(use_by_name.values())
    )


def _sound_by_service(
    demands: Iterable[ServiceDemand], hosts: int
) -> dict[str, ServiceDemand]:
    """Return the reported demands without amounts that can't be true of some hosts."""
    streams, starts = hosts * MAX_HOST_STREAMS, hosts * MAX_HOST_STARTS_PER_S
    sound_by_service = {}
    for demand in list(demands)[:MAX_SERVICES]:
        if len(demand.service) > MAX_NAME:
            continue
        rank_by_number = {
            item.rank: item
            for item in demand.ranks[:MAX_RANKS]
            if 0 <= item.rank <= MAX_RANK
            and _is_amount(item.starts_per_s, starts)
            and _is_amount(item.waiting, streams)
            and _is_amount(item.running, streams)
        }
        use_by_name = {
            use.workspace: use
            for use in demand.workspaces[:MAX_SUMMED_WORKSPACES]
            if len(use.workspace) <= MAX_NAME
            and _is_amount(use.running, streams)
            and _is_amount(use.starts_per_s, starts)
        }
        sound_by_service[demand.service] = ServiceDemand(
            demand.service, list(rank_by_number.values()), list(use_by_name.values())
        )
    return sound_by_service


def _is_amount(value: float, most: float) -> bool:
    return math.isfinite(value) and 0 <= value <= most


def _short(value: float) -> float:
    """Return an amount as it is told; whole ones take a few bytes less."""
    rounded = round(value, 2)
    return int(rounded) if rounded == int(rounded) else rounded


def _is_fresh(report: _Report | None, now: float) -> bool:
    return report is not None and now - report.at < REPORT_LIFE_S


def _bounded_rank(rank: int) -> int:
    return min(MAX_RANK, max(0, rank))


def _add(counts: Counter, key, sign: int) -> None:
    counts[key] += sign
    if counts[key] <= 0:
        del counts[key]
