"""Search for a request's path through targets that hold parts of the model.

Accelerators of very unequal speed share one model, each with its own load, and any of
them may crash.  With a fixed chain per zone, one dead stage would take away the whole
zone, and a slow stage would get as much work as a fast one.  Here each request takes
the cheapest path over any targets that cover the layers.  A stage may be any piece of
what a target holds, so every set of live targets that covers the model gives a path.

The cost of a stage is the time that one token spends there: the fixed part of a step,
and what each request adds to it, times the share of layers.  A target whose memory is
nearly full costs more, since requests that do not fit are evicted in the middle of
their stream.  A target that is full is excluded.
"""

import math
import random
from collections.abc import Collection, Mapping, Sequence

import msgspec

from radishfield.routing._links import Pair, crossing_ms, pair_of
from radishfield.routing._load import LoadTable, TargetLoad
from radishfield.routing._types import (
    EngineSpec,
    LayerSpan,
    Path,
    PathStage,
    TargetRecord,
)

HOP_MS = 0.05
"""Cost of any further stage, so that ties go to the shorter path."""

STAGE_STEPS = 0.5
"""The same while work of other hosts is known, in steps of the model: each token waits
at a stage for half of the pass that runs there, and a stream is interrupted when any
target of its path is lost."""

HIGH_FILL = 0.75
"""Share of a target's memory from which the target costs more than its time."""

MAX_FILL = 0.97
"""Share of a target's memory above which nothing more is sent.  Reservations count a
request's expected length, and some requests grow longer."""

FULL_PENALTY_STEPS = 20.0
"""Additional cost of a full target, in steps of the model: several times a stage's
typical time even on the slowest accelerators, so that a path that avoids it is taken
wherever there is one."""

FAILURE_PENALTY_STEPS = 10.0
"""Additional cost of a first target that fails all of its requests, in steps of the
model: about the time of a token over a path, so that another first target of the zone
is taken if there is one."""

REMOTE_STATE_AGE_S = 0.4
"""Mean age of what a host knows of the others' work: half of the time until a status or
a zone total arrives, and its transfer."""

MAX_SPREAD = 0.6
"""Largest deviation of a target's cost, in natural logarithms.  Beyond it slow
accelerators are taken for fast ones, and tokens take a tenth longer."""

HALF_SPREAD_STARTS = 40.0
"""Unreported starts at which half of ``MAX_SPREAD`` is used: as many as the stages of a
typical path hold, so that the path can carry them even if all of them choose it."""


STARTUP_SPREAD = 1.5
"""Deviation of a target's cost while nothing is known of other hosts.  When all hosts
have just restarted, the callers of a second come back at once.  With less deviation,
each host fills the fastest accelerators, and half of the callers are refused by them
four times over.  With this one, paths are chosen nearly at random, and all but a few
requests find free capacity at once."""


ROOM_PREFERENCE = 10.0
"""How many times its share of the running streams a target gets of the unseen ones
while it has room.  A fast target holds few streams for want of room, and whenever some
of it is free, nearly all hosts choose it, both those that have not reported a choice
yet and those that choose now."""

MAX_FLEET_FILL = 0.5
"""Share of the memory of all targets from which they are chosen without regard to
unseen streams.  In a fuller fleet most targets look taken, and a path around them
passes more targets: a stream that waits at each of them, and is interrupted when any of
them is lost, is worse off than one that is refused once and sent again.
"""

MAX_CONTENDERS = 2.0
"""Most contenders, as a multiple of the unseen streams: those since the report that a
host has, and as many until the others know of its own choice."""

MIN_UNSEEN_SHARE = 0.1
"""Smallest share of the unseen streams that a target is assumed to get, also one that
holds nothing yet: a range of layers has about ten holders in a large fleet."""


def room_probability(free: float, contenders: float) -> float:
    """Return the probability with which a target should be a candidate.

    Hosts that start streams within the time in which none hears of the others all know
    the same free room at the few fastest targets.  If each took them, they would get
    several times what they have room for, refuse the rest and evict running requests,
    while the slower ones idle.  With this probability the expected newcomers fill the
    room and no more.

    Parameters
    ----------
    free : float
        Typical requests that fit beside what the target is known to hold.
    contenders : float
        Requests that all hosts are about to send there, or have sent unseen.
    """
    if contenders <= free:
        return 1.0
    return max(0.0, free) / contenders


def choice_spread(unseen: float) -> float:
    """Return the deviation by which costs vary at random from request to request.

    When two hundred hosts start as many streams in a second, all of them know the same
    of the targets, half a second late.  Each would take the one path that was cheapest
    then: a hundred streams meet where forty fit, are refused or evicted, and half a
    second later all of them meet on the next path.  With random costs they take the
    cheap paths in proportion.  A few hosts that see each other's work keep to the
    cheapest.

    Parameters
    ----------
    unseen : float
        Streams that other hosts have sent, or send now, and have not reported.
    """
    return MAX_SPREAD * unseen / (unseen + HALF_SPREAD_STARTS)


class Demand(msgspec.Struct, frozen=True):
    """Tokens that a request will take: its prompt and its expected answer."""

    prompt: int
    answer: int

    @property
    def tokens(self) -> int:
        """Return the tokens that the request occupies at its end."""
        return self.prompt + self.answer


def capacity_token_layers(engine: EngineSpec, record: TargetRecord) -> float:
    """Return the token-layers that fit beside the layers that a target holds."""
    accelerator = engine.accelerator_by_name.get(record.accelerator)
    if accelerator is None or record.span is None or not engine.cache_bytes_per_token:
        return float("inf")
    free_mb = accelerator.memory_mb - len(record.span) * engine.layer_mb
    return free_mb * 1e6 / engine.layer_cache_bytes


def token_ms(engine: EngineSpec, record: TargetRecord, held: TargetLoad) -> float:
    """Return the time of a step over all layers with the given load."""
    accelerator = engine.accelerator_by_name.get(record.accelerator)
    step_factor = accelerator.step_factor if accelerator else 1.0
    read_factor = accelerator.read_factor if accelerator else 1.0
    layers = len(record.span) if record.span else engine.layers
    context_k = held.token_layers / max(1, layers) / 1000
    fixed = engine.step_ms + context_k * engine.step_ms_per_1k
    return step_factor * fixed + read_factor * (
        held.requests * engine.step_ms_per_request
    )


def path_ms(
    engine: EngineSpec,
    records: Mapping[str, TargetRecord],
    load: LoadTable,
    path: Path,
) -> float:
    """Return the time that a token should take over a path under the current load."""
    total = 0.0
    for part in path:
        record = records.get(part.target_id)
        if record is not None:
            held = load.held(part.target_id)
            share = len(part.span) / engine.layers
            total += token_ms(engine, record, held) * share
    return total


class _CandidatePath(msgspec.Struct, frozen=True):
    """A path's last stage and the candidate that it extends; no record at its start."""

    cost: float
    previous: "_CandidatePath | None"
    record: TargetRecord | None
    start: int
    end: int


class _Entry(msgspec.Struct, frozen=True):
    """The cost of continuing a candidate in a zone."""

    cost: float
    previous: _CandidatePath


class PathFinder:
    """Finds paths over one list of targets; cheap enough to create for each request.

    Parameters
    ----------
    share_by_pair : mapping, optional
        Share of each link's time that is in use.
    closed : collection of pairs
        Links that no prompt may cross now.
    spread : float
        Deviation by which costs vary at random, see `choice_spread`.
    failed_share_by_id : mapping, optional
        Share of its requests that a first target fails.
    unseen : float
        Streams that other hosts have sent, or send now, and have not reported; zero
        to choose without regard to them, see `room_probability`.
    """

    __slots__ = (
        "_closed",
        "_engine",
        "_failed_share_by_id",
        "_first_ids",
        "_load",
        "_regards_unseen",
        "_rng",
        "_share_by_pair",
        "_spread",
        "_stage_ms",
        "_transfer_ms",
        "_unseen",
        "_unseen_by_held",
        "_zone",
    )

    def __init__(
        self,
        engine: EngineSpec,
        load: LoadTable,
        zone: str,
        share_by_pair: Mapping[Pair, float] | None = None,
        closed: Collection[Pair] = (),
        spread: float = 0.0,
        rng: random.Random | None = None,
        failed_share_by_id: Mapping[str, float] | None = None,
        unseen: float = 0.0,
    ):
        self._failed_share_by_id = failed_share_by_id or {}
        self._unseen_by_held = unseen / max(1.0, load.streams()) if unseen else 0.0
        self._unseen = unseen
        self._regards_unseen = False
        self._stage_ms = HOP_MS
        if spread <= MAX_SPREAD:
            self._stage_ms = max(HOP_MS, STAGE_STEPS * engine.step_ms)
        self._spread = spread
        self._rng = rng or random.Random()
        self._closed = closed
        self._engine = engine
        self._load = load
        self._zone = zone
        self._first_ids: Collection[str] | None = None
        self._share_by_pair = share_by_pair or {}
        self._transfer_ms = engine.transfer_ms(engine.usual_prompt)

    def find(
        self,
        records: Sequence[TargetRecord],
        demand: Demand,
        first: PathStage | None = None,
        slowdown_by_id: Mapping[str, float] | None = None,
        holding_ids: Collection[str] = (),
        first_ids: Collection[str] | None = None,
    ) -> Path | None:
        """Return the cheapest path, or None if no targets with free capacity cover it.

        All stages hold the same version of the weights, the newest that has a path: a
        token computed over two versions would come from no model at all.

        Parameters
        ----------
        first : PathStage, optional
            The stage with which the path has to begin, unchanged.
        first_ids : collection of str, optional
            The only targets that may be the path's first.
        holding_ids : collection of str
            Targets that hold the request already, so that they need no more capacity.
        """
        self._first_ids = first_ids
        self._regards_unseen = self._unseen > 0.0 and self._has_room(records)
        versions = {record.weights_version for record in records if record.span}
        for version in sorted(versions, reverse=True):
            same = [record for record in records if record.weights_version == version]
            path = self._find_among(same, demand, first, slowdown_by_id, holding_ids)
            # Targets do not detect a gap or an overlap and would answer with
            # tokens of no model, so each path is checked before it is used.
            if path is not None and covers_once(path, self._engine.layers):
                return path
        return None

    def _find_among(
        self,
        records: Sequence[TargetRecord],
        demand: Demand,
        first: PathStage | None,
        slowdown_by_id: Mapping[str, float] | None,
        holding_ids: Collection[str],
    ) -> Path | None:
        """Return the cheapest path over targets with the same weights."""
        slowdown_factors = slowdown_by_id or {}
        cost_by_id: dict[str, float] = {}
        with_capacity: list[TargetRecord] = []
        for record in records:
            cost = self._layer_ms(record, demand, record.id in holding_ids)
            if cost is not None:
                cost *= slowdown_factors.get(record.id, 1.0) * self._random_factor()
                cost_by_id[record.id] = cost
                with_capacity.append(record)
        if first is None:
            candidate = self._find_cheapest(with_capacity, cost_by_id, 0, self._zone)
            return None if candidate is None else _as_path(candidate)
        others = [record for record in with_capacity if record.id != first.target_id]
        zone = next((r.zone for r in records if r.id == first.target_id), self._zone)
        candidate = self._find_cheapest(others, cost_by_id, first.span.end, zone)
        return None if candidate is None else (first, *_as_path(candidate))

    def _random_factor(self) -> float:
        if not self._spread:
            return 1.0
        return math.exp(self._rng.gauss(0.0, self._spread))

    def _layer_ms(
        self, record: TargetRecord, demand: Demand, holds_it: bool
    ) -> float | None:
        """Return the cost of a layer at a target; None if it has no free capacity."""
        if record.span is None:
            return None
        held = self._load.held(record.id)
        capacity = capacity_token_layers(self._engine, record)
        needed = 0 if holds_it else demand.tokens * len(record.span)
        fill = (held.token_layers + needed) / capacity if capacity > 0 else 2.0
        if fill > MAX_FILL and not holds_it:
            return None
        cost = token_ms(self._engine, record, held) / self._engine.layers
        excess = max(0.0, (fill - HIGH_FILL) / (MAX_FILL - HIGH_FILL))
        if not holds_it and self._is_taken_by_others(held, needed, capacity):
            excess = max(1.0, excess)
        if excess > 0.0:
            penalty_ms = FULL_PENALTY_STEPS * self._engine.step_ms
            cost += excess * penalty_ms / len(record.span)
        return cost

    def _has_room(self, records: Sequence[TargetRecord]) -> bool:
        """Return whether the targets together are filled to less than the limit."""
        held = capacity = 0.0
        for record in records:
            if record.span is not None:
                held += self._load.held(record.id).token_layers
                capacity += capacity_token_layers(self._engine, record)
        return held < MAX_FLEET_FILL * capacity

    def _is_taken_by_others(
        self, held: TargetLoad, needed: float, capacity: float
    ) -> bool:
        """Return at random whether a target's room is left to streams not yet seen."""
        if not self._regards_unseen or needed <= 0:
            return False
        free = (capacity * MAX_FILL - held.token_layers) / needed
        preferred = held.requests * self._unseen_by_held * ROOM_PREFERENCE
        least = self._unseen * MIN_UNSEEN_SHARE
        contenders = min(max(preferred, least), self._unseen * MAX_CONTENDERS)
        return self._rng.random() >= room_probability(free, contenders)

    def _find_cheapest(
        self,
        records: Sequence[TargetRecord],
        layer_ms_by_id: dict[str, float],
        begin: int,
        zone: str,
    ) -> _CandidatePath | None:
        """Return the cheapest path from layer ``begin`` on, boundary by boundary."""
        layers = self._engine.layers
        bounds = {begin, layers}
        for record in records:
            bounds.update((record.span.first, record.span.end))
        boundaries = sorted(bound for bound in bounds if begin <= bound <= layers)
        covering = _covering_records(records, layer_ms_by_id, boundaries)
        best: list[dict[str, _CandidatePath]] = [{} for _ in boundaries]
        best[0][zone] = _CandidatePath(0.0, None, None, begin, begin)
        for index, start in enumerate(boundaries[:-1]):
            if best[index]:
                self._extend_candidates(
                    best, index, start, covering[index], boundaries, layer_ms_by_id
                )
        return min(best[-1].values(), key=lambda item: item.cost, default=None)

    def _extend_candidates(
        self,
        best: list[dict[str, _CandidatePath]],
        index: int,
        start: int,
        covering: Sequence[tuple[TargetRecord, int]],
        boundaries: Sequence[int],
        layer_ms_by_id: dict[str, float],
    ) -> None:
        """Extend the candidates at one boundary by a stage of any covering target.

        The targets come in order of cost, so within a zone a dearer one is only of use
        for layers beyond those that the cheaper ones hold.
        """
        entry_by_zone: dict[str, _Entry | None] = {}
        next_index_by_zone: dict[str, int] = {}
        for record, end_index in covering:
            zone = record.zone
            from_index = next_index_by_zone.get(zone, index + 1)
            failure_ms = 0.0
            if start == 0:
                if not self._may_be_first(record):
                    continue
                # Their order does not include the cost of failures.
                from_index = index + 1
                failure_ms = self._failure_ms(record)
            if end_index < from_index:
                continue
            next_index_by_zone[zone] = end_index + 1
            if zone not in entry_by_zone:
                entry_by_zone[zone] = self._cheapest_entry(best[index], zone, start)
            entry = entry_by_zone[zone]
            if entry is None:
                continue
            layer_ms = layer_ms_by_id[record.id]
            entry_ms = entry.cost + failure_ms + self._stage_ms
            for end_at in range(from_index, end_index + 1):
                end = boundaries[end_at]
                cost = entry_ms + (end - start) * layer_ms
                known = best[end_at].get(zone)
                if known is None or cost < known.cost:
                    candidate = _CandidatePath(cost, entry.previous, record, start, end)
                    best[end_at][zone] = candidate

    def _failure_ms(self, record: TargetRecord) -> float:
        share = self._failed_share_by_id.get(record.id, 0.0)
        return share * FAILURE_PENALTY_STEPS * self._engine.step_ms

    def _cheapest_entry(
        self, reached: Mapping[str, _CandidatePath], zone: str, start: int
    ) -> _Entry | None:
        """Return the cheapest way into a zone; None if all links to it are closed."""
        entries = [
            _Entry(candidate.cost + self._zone_change_ms(other, zone, start), candidate)
            for other, candidate in reached.items()
        ]
        entry = min(entries, key=lambda item: item.cost)
        return None if entry.cost == math.inf else entry

    def _zone_change_ms(self, zone: str, other: str, start: int) -> float:
        """Return the cost of entering a zone from another one."""
        if zone == other:
            return 0.0
        delay_ms = self._engine.delay_ms(zone, other)
        if start == 0:
            # Only the request and its events cross, a negligible load for a link.
            return delay_ms
        pair = pair_of(zone, other)
        if pair in self._closed:
            return math.inf
        share = self._share_by_pair.get(pair, 0.0)
        return crossing_ms(share, self._transfer_ms, delay_ms)

    def _may_be_first(self, record: TargetRecord) -> bool:
        if self._first_ids is not None and record.id not in self._first_ids:
            return False
        return self._load.held(record.id).as_first < self._engine.slots


def _covering_records(
    records: Sequence[TargetRecord],
    layer_ms_by_id: Mapping[str, float],
    boundaries: Sequence[int],
) -> list[list[tuple[TargetRecord, int]]]:
    """Return, for each boundary, the targets that hold the layer behind it.

    They come in order of cost, each with the index of the boundary at which its layers
    end.
    """
    index_by_boundary = {bound: index for index, bound in enumerate(boundaries)}
    covering: list[list[tuple[TargetRecord, int]]] = [[] for _ in boundaries]
    for record in sorted(records, key=lambda item: layer_ms_by_id[item.id]):
        end_index = index_by_boundary.get(record.span.end, 0)
        for index in range(index_by_boundary.get(record.span.first, 0), end_index):
            covering[index].append((record, end_index))
    return covering


def _as_path(candidate: _CandidatePath) -> Path:
    """Return the stages; a target that occurs twice runs all layers in between.

    Targets refuse a path that names one of them twice.
    """
    parts: list[tuple[TargetRecord, int, int]] = []
    while candidate.record is not None:
        parts.append((candidate.record, candidate.start, candidate.end))
        candidate = candidate.previous
    parts.reverse()
    last_index_by_id = {part[0].id: index for index, part in enumerate(parts)}
    merged: list[PathStage] = []
    index = 0
    while index < len(parts):
        record, start, _ = parts[index]
        last = last_index_by_id[record.id]
        span = LayerSpan(start, parts[last][2])
        merged.append(PathStage(record.id, record.address, span))
        index = last + 1
    return tuple(merged)


def covers_once(path: Path, layers: int) -> bool:
    """Return whether a path runs every layer once and in order."""
    at = 0
    for part in path:
        if part.span.first != at or part.span.end <= at:
            return False
        at = part.span.end
    return at == layers and len({part.target_id for part in path}) == len(path)
