"""Whether a stream may start, waits or is rejected, by what all hosts know.

Load: more work than room, at many hosts, of several ranks and many workspaces.  Every
host applies the same rule to the same sums: a stream starts if the room that is left
beside it covers what goes before it (`reserved_streams`).  Work of a workspace beyond
its fair share goes after all that is within its share, inside its rank.

A caller that can't be in time is rejected at once.  If it waited, it would learn the
same half a second later, and return to the same overload.
"""

import math

import msgspec

from radishfield.capacity._data import ServiceDemand, StreamRoom, WorkspaceUse
from radishfield.capacity._demand import DemandMeter, merge_ranks, told_name
from radishfield.capacity._fair_share import fair_share, workspaces_over_share
from radishfield.capacity._reserve import (
    REACTION_S,
    Level,
    StartGrant,
    UrgentRates,
    grant_starts,
    reserved_streams,
)

AMPLE_FACTOR = 2.0
"""Multiple of all contenders from which room is not divided among hosts: each could
start all of its own without harm to the others."""

MAX_FORECAST_SHARE = 0.8
"""Share of the time left that a forecast may use: the forecast scatters, and who is
admitted at its edge would mostly be late."""

MIN_STREAM_S = 0.1
"""Shortest length of a typical stream, so that rates stay finite."""

MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.5, 5.0
"""Bounds of the time after which a rejected caller returns.  Sooner it meets the same
overload; callers wait for a third of their time at most."""


class Start(msgspec.Struct, frozen=True):
    """The stream may start if a path is found."""


class Wait(msgspec.Struct, frozen=True):
    """Others go first; its turn should come in time."""


class Reject(msgspec.Struct, frozen=True):
    """Its turn would come too late.

    Attributes
    ----------
    retry_after_s : float
        Seconds until there should be room for it.
    """

    retry_after_s: float
    over_share: bool
    detail: str


Verdict = Start | Wait | Reject


class ServiceAdmission(msgspec.Struct):
    """Decides about the streams of one service at one host.

    Attributes
    ----------
    by_rank, by_share : bool
        Which of the two rules apply.
    ranks : list of int
        The ranks that requests may have, the first one first.
    room : StreamRoom
        As of the last update.
    demand : ServiceDemand
        Of all hosts together.
    share_level : float
        Streams that a workspace may hold before it is beyond its fair share.
    stream_s : float
        Seconds for which a typical stream holds its room.
    """

    service: str
    by_rank: bool = False
    by_share: bool = False
    ranks: list[int] = msgspec.field(default_factory=list)
    meter: DemandMeter = msgspec.field(default_factory=DemandMeter)
    room: StreamRoom | None = None
    demand: ServiceDemand = ServiceDemand("")
    share_level: float = math.inf
    stream_s: float = 1.0
    _over_by_workspace: dict[str, WorkspaceUse] = msgspec.field(default_factory=dict)
    _rates: UrgentRates = msgspec.field(default_factory=UrgentRates)
    _grant_by_level: dict[Level, StartGrant] = msgspec.field(default_factory=dict)
    _reserve_by_level: dict[Level, float] = msgspec.field(default_factory=dict)
    _started: float = 0.0

    def update(
        self, room: StreamRoom, demand: ServiceDemand, stream_s: float, now: float
    ) -> None:
        """Take the sums of all hosts, as they are known now."""
        if not self.by_rank:
            demand = merge_ranks(demand)
        self.room, self.demand, self._started = room, demand, 0.0
        self.stream_s = max(MIN_STREAM_S, stream_s)
        self._rates.note(demand.ranks, now)
        self._reserve_by_level.clear()
        if self.by_share:
            uses = demand.workspaces
            self.share_level = fair_share(uses, demand.ranks, room.total, self.stream_s)
            self._over_by_workspace = workspaces_over_share(
                uses, self.share_level, self.stream_s
            )

    def level(self, rank: int, workspace: str) -> Level:
        """Return how urgent a stream is, the smallest level first."""
        if not self.by_rank:
            rank = 0
        if not self._over_by_workspace:
            return Level(rank)
        return Level(rank, told_name(workspace) in self._over_by_workspace)

    def reserved(self, level: Level) -> float:
        """Return the streams for which a level has to leave room."""
        if self.room is None:
            return 0.0
        reserve = self._reserve_by_level.get(level)
        if reserve is None:
            reserve = self._reserve_by_level[level] = self._computed_reserve(level)
        return reserve

    def _computed_reserve(self, level: Level) -> float:
        if not level.is_over_share:
            rate = self._rates.largest_up_to(level.rank - 1)
        else:
            rate = self._rates.largest_up_to(level.rank)
            rate -= sum(use.starts_per_s for use in self._over_by_workspace.values())
        return reserved_streams(rate, self.room, level.is_over_share)

    def lowest_rank(self) -> int:
        """Return the least urgent of the known ranks that has room; -1 if none has."""
        ranks = [item.rank for item in self.demand.ranks]
        with_room = [
            rank for rank in ranks if self._free() > self.reserved(Level(rank))
        ]
        return max(with_room, default=-1)

    def workspaces_over_share(self) -> list[str]:
        """Return the workspaces that are held to their share now."""
        return sorted(self._over_by_workspace)

    def may_start(self, level: Level, now: float, draw: float) -> bool:
        """Return whether a stream may take room now.

        Parameters
        ----------
        draw : float
            A random number from 0 to 1.
        """
        if self.room is None or self.room.total <= 0.0:
            # Without an account the search for a path decides alone.
            return True
        reserve = self.reserved(level)
        if reserve <= 0.0:
            return True
        free = self._free() - reserve
        rank = level.rank if self.by_rank else None
        own = self.meter.contenders(rank, REACTION_S, now)
        everybody = max(own, _contenders(self.demand, level))
        if free >= AMPLE_FACTOR * everybody:
            return True
        grant = self._grant_by_level.get(level)
        if grant is None or now >= grant.until:
            expected = free + self._left_per_s(level) * REACTION_S
            starts = grant_starts(expected, own, everybody, draw)
            grant = StartGrant(now + REACTION_S, starts)
            self._grant_by_level[level] = grant
        return grant.starts > 0

    def note_start(self, level: Level, size: float) -> None:
        """Count a stream that has taken room.

        Parameters
        ----------
        size : float
            In streams of typical size.
        """
        self._started += size
        grant = self._grant_by_level.get(level)
        if grant is not None and grant.starts > 0:
            self._grant_by_level[level] = StartGrant(grant.until, grant.starts - 1)

    def judge(self, level: Level, left_s: float, now: float, draw: float) -> Verdict:
        """Return what happens to a new stream.

        Parameters
        ----------
        left_s : float
            Seconds in which it has to start to be in time.
        """
        if self.may_start(level, now, draw):
            return Start()
        wait_s = self._wait_s(level)
        if wait_s <= left_s * MAX_FORECAST_SHARE:
            return Wait()
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return Reject(retry_after_s, level.is_over_share, self._detail(level, wait_s))

    def _wait_s(self, level: Level) -> float:
        """Return when the turn of a new stream should come, at the present rates."""
        left_per_s = self._left_per_s(level)
        if left_per_s <= 0.0:
            return math.inf
        waiting = sum(
            item.waiting for item in self.demand.ranks if item.rank <= level.rank
        )
        missing = max(0.0, self.reserved(level) - self._free())
        return (waiting + 1 + missing) / left_per_s

    def _left_per_s(self, level: Level) -> float:
        """Return the room that is freed each second and not taken by more urgent work.

        Negative if more urgent work takes more than is freed.
        """
        ahead_per_s = 0.0
        for item in self.demand.ranks:
            is_own = item.rank == level.rank
            if item.rank < level.rank or (is_own and level.is_over_share):
                ahead_per_s += item.starts_per_s
        if level.is_over_share:
            over = self._over_by_workspace.values()
            ahead_per_s -= sum(use.starts_per_s for use in over)
        return self.room.used / self.stream_s - ahead_per_s

    def _free(self) -> float:
        return self.room.free - self._started

    def _detail(self, level: Level, wait_s: float) -> str:
        share = f", share {self.share_level:.1f}" if level.is_over_share else ""
        expected = "never" if math.isinf(wait_s) else f"in {wait_s:.2f} s"
        return (
            f"rank {level.rank}{share}: {self.room.used:.0f} of "
            f"{self.room.total:.0f} used, {self.reserved(level):.0f} kept, "
            f"turn {expected}"
        )


def _contenders(demand: ServiceDemand, level: Level) -> float:
    """Return the streams of a rank that wait, or arrive within the reaction."""
    return sum(
        item.waiting + item.starts_per_s * REACTION_S
        for item in demand.ranks
        if item.rank == level.rank
    )
