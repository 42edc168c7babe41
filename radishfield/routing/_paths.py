"""The path of a request through targets that hold parts of the model.

Load pattern: cards of very unequal speed share one model, each with its own load,
and any of them may die.  A fixed chain per zone loses all of a zone with one dead
part, and feeds a slow part as much as a fast one.  Here each request takes the
cheapest way over whatever covers the layers: a part may be any piece of what a
target holds, so every set of live targets that covers the model gives a path.

The cost of a part is the time that one token spends there: the fixed part of a
step, and what each request adds to it, times the share of layers.  A target whose
memory is nearly full costs more, since requests that do not fit are thrown out in
the middle of their stream; one that is full is left out.
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
    PathPart,
    TargetRecord,
)

HOP_MS = 0.05
"""Cost of any further part, so that ties go to the shorter path."""

CROWDED = 0.75
"""Share of a target's memory from which on it costs more than its time."""

FULL = 0.97
"""Share of a target's memory over which nothing more is sent.  Reservations count
a request's expected length, and some grow longer."""

CROWDED_STEPS = 20.0
"""Steps of the model that a full target costs more: several times a part's usual time
even on the slowest cards, so that a path that avoids it is taken wherever there is
one."""


UNSEEN_S = 0.4
"""Mean age of what a host knows of the others' work: half of the time until a status
or a sum comes, and its way."""

MOST_SPREAD = 0.6
"""Largest deviation of a target's cost, in natural logarithms.  Beyond it slow cards
are taken for fast ones, and tokens take a tenth longer."""

HALF_SPREAD_STARTS = 40.0
"""Unseen starts at which half of that is used: as many as the parts of a usual path
hold, so that even all of them on one path are no more than it carries."""


BLIND_SPREAD = 1.5
"""The same while nothing is known of others.  Load pattern: all hosts have just been
started again, and a second's callers come back at once.  Each host fills the fastest
cards, and half of the callers are refused by them four times over.  So wide, paths are
taken nearly by chance, and all but a few find room at once."""


def choice_spread(unseen: float) -> float:
    """Return by how much costs are varied by chance from request to request.

    Load pattern: two hundred hosts start as many streams in a second, and all of them
    know the same of the targets, half a second late.  Each would take the one path
    that was cheapest then: a hundred streams meet where there is room for forty, are
    refused or thrown out, and half a second later all of them meet on the next one.
    With costs varied by chance they take the cheap paths in proportion.  A few hosts
    that see each other's work keep to the cheapest.

    Parameters
    ----------
    unseen : float
        Streams that other hosts have sent, or send now, and have not told.
    """
    return MOST_SPREAD * unseen / (unseen + HALF_SPREAD_STARTS)


class Demand(msgspec.Struct, frozen=True):
    """What a request will take: prompt and expected answer, in tokens."""

    prompt: int
    answer: int

    @property
    def tokens(self) -> int:
        """Return the tokens that the request fills at its end."""
        return self.prompt + self.answer


def capacity_token_layers(engine: EngineSpec, record: TargetRecord) -> float:
    """Return the token-layers that fit beside the layers a target holds."""
    card = engine.accelerator_by_name.get(record.accelerator)
    if card is None or record.span is None or not engine.cache_bytes_per_token:
        return float("inf")
    free_mb = card.memory_mb - len(record.span) * engine.layer_mb
    return free_mb * 1e6 / (engine.cache_bytes_per_token / engine.layers)


def token_ms(engine: EngineSpec, record: TargetRecord, held: TargetLoad) -> float:
    """Return the time of a step over all layers, with the work that is held."""
    card = engine.accelerator_by_name.get(record.accelerator)
    step_factor = card.step_factor if card else 1.0
    read_factor = card.read_factor if card else 1.0
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
    """Return the time that a token should take over a path, by what it holds."""
    total = 0.0
    for part in path:
        record = records.get(part.target_id)
        if record is not None:
            held = load.held(part.target_id)
            share = len(part.span) / engine.layers
            total += token_ms(engine, record, held) * share
    return total


class _Way(msgspec.Struct, frozen=True):
    cost: float
    parts: tuple[tuple[TargetRecord, int, int], ...]


class PathFinder:
    """Finds paths over one list of targets; cheap enough to make for a request.

    Parameters
    ----------
    share_by_pair : mapping, optional
        Share of each link's time that is taken.
    closed : collection of pairs
        Links that no prompt may cross now.
    spread : float
        Deviation by which costs are varied, see `choice_spread`.
    """

    __slots__ = (
        "_chance",
        "_closed",
        "_engine",
        "_first_ids",
        "_load",
        "_share_by_pair",
        "_spread",
        "_transfer_ms",
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
        chance: random.Random | None = None,
    ):
        self._spread = spread
        self._chance = chance or random.Random()
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
        first: PathPart | None = None,
        pace_by_id: Mapping[str, float] | None = None,
        own_by_id: Collection[str] = (),
        first_ids: Collection[str] | None = None,
    ) -> Path | None:
        """Return the cheapest path, or None if no targets with room cover it.

        All parts hold the same version of the weights, the newest that has a path:
        a token over two versions would come from no model at all.

        Parameters
        ----------
        first : PathPart, optional
            The part with which the path has to begin, as it is.
        first_ids : collection of str, optional
            The only targets that may be the path's first.
        own_by_id : collection of str
            Targets that hold the request already, so that they need no more room.
        """
        self._first_ids = first_ids
        versions = {record.weights_version for record in records if record.span}
        for version in sorted(versions, reverse=True):
            same = [record for record in records if record.weights_version == version]
            path = self._find_among(same, demand, first, pace_by_id, own_by_id)
            # Targets do not notice a gap or an overlap: their answer would be
            # tokens of no model, so each path is checked before it is used.
            if path is not None and covers_once(path, self._engine.layers):
                return path
        return None

    def _find_among(
        self,
        records: Sequence[TargetRecord],
        demand: Demand,
        first: PathPart | None,
        pace_by_id: Mapping[str, float] | None,
        own_by_id: Collection[str],
    ) -> Path | None:
        """Return the cheapest path over targets with the same weights."""
        paces = pace_by_id or {}
        part_ms_by_id: dict[str, float] = {}
        roomy: list[TargetRecord] = []
        for record in records:
            cost = self._layer_ms(record, demand, record.id in own_by_id)
            if cost is not None:
                cost *= paces.get(record.id, 1.0) * self._varied()
                part_ms_by_id[record.id] = cost
                roomy.append(record)
        if first is None:
            way = self._cheapest(roomy, part_ms_by_id, 0, self._zone)
            return None if way is None else _as_path(way)
        others = [record for record in roomy if record.id != first.target_id]
        zone = next((r.zone for r in records if r.id == first.target_id), self._zone)
        way = self._cheapest(others, part_ms_by_id, first.span.end, zone)
        return None if way is None else (first, *_as_path(way))

    def _varied(self) -> float:
        if not self._spread:
            return 1.0
        return math.exp(self._chance.gauss(0.0, self._spread))

    def _layer_ms(
        self, record: TargetRecord, demand: Demand, holds_it: bool
    ) -> float | None:
        """Return the cost of a layer at a target; None if it has no room."""
        if record.span is None:
            return None
        held = self._load.held(record.id)
        capacity = capacity_token_layers(self._engine, record)
        need = 0 if holds_it else demand.tokens * len(record.span)
        fill = (held.token_layers + need) / capacity if capacity > 0 else 2.0
        if fill > FULL and not holds_it:
            return None
        cost = token_ms(self._engine, record, held) / self._engine.layers
        if fill > CROWDED:
            crowd = (fill - CROWDED) / (FULL - CROWDED)
            crowded_ms = CROWDED_STEPS * self._engine.step_ms
            cost += crowd * crowded_ms / len(record.span)
        return cost

    def _cheapest(
        self,
        records: Sequence[TargetRecord],
        layer_ms_by_id: dict[str, float],
        begin: int,
        zone: str,
    ) -> _Way | None:
        """Walk the boundaries between layers from ``begin`` to the last."""
        layers = self._engine.layers
        cuts = {begin, layers}
        for record in records:
            cuts.update((record.span.first, record.span.end))
        best: dict[tuple[int, str], _Way] = {(begin, zone): _Way(0.0, ())}
        for start in sorted(cuts):
            if start < begin:
                continue
            here = [(zone, way) for (at, zone), way in best.items() if at == start]
            if start == layers or not here:
                continue
            for record in records:
                span = record.span
                if not span.first <= start < span.end:
                    continue
                if start == 0 and not self._may_be_first(record):
                    continue
                self._extend(best, here, start, record, cuts, layer_ms_by_id)
        ends = [way for (at, _), way in best.items() if at == layers]
        return min(ends, key=lambda way: way.cost, default=None)

    def _extend(
        self,
        best: dict[tuple[int, str], _Way],
        here: list[tuple[str, _Way]],
        start: int,
        record: TargetRecord,
        cuts: set[int],
        layer_ms_by_id: dict[str, float],
    ) -> None:
        entry_cost, way = min(
            (
                (way.cost + self._change_ms(zone, record.zone, start), way)
                for zone, way in here
            ),
            key=lambda pair: pair[0],
        )
        if entry_cost == math.inf:
            return
        for end in cuts:
            if not start < end <= record.span.end:
                continue
            cost = entry_cost + HOP_MS + (end - start) * layer_ms_by_id[record.id]
            known = best.get((end, record.zone))
            if known is None or cost < known.cost:
                parts = (*way.parts, (record, start, end))
                best[(end, record.zone)] = _Way(cost, parts)

    def _change_ms(self, zone: str, other: str, start: int) -> float:
        """Return what it costs to enter a zone from another one."""
        if zone == other:
            return 0.0
        delay_ms = self._engine.delay_ms(zone, other)
        if start == 0:
            # Only the request and its events cross, which no link notices.
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


def _as_path(way: _Way) -> Path:
    """Return the parts; a target that stands twice runs all in between.

    Targets refuse a path that names one of them twice.
    """
    parts = list(way.parts)
    last_index_by_id = {part[0].id: index for index, part in enumerate(parts)}
    merged: list[PathPart] = []
    index = 0
    while index < len(parts):
        record, start, _ = parts[index]
        last = last_index_by_id[record.id]
        span = LayerSpan(start, parts[last][2])
        merged.append(PathPart(record.id, record.address, span))
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
