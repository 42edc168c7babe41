"""Plans moves that give a zone a whole copy again after a loss of targets.

Load: a joint loss of targets takes the last copy of some layers in a zone, and until
the lost ones are back, empty, every stream of that zone crosses links that carry a few
prompts a second.  If the zone holds other layers twice, their holders can load what is
missing in less time than a lost target takes to restart.

A repair of a zone is all or nothing.  Half of it costs loads and makes no path, so its
orders are returned only if together with the loads in progress they make the zone, or
the fleet, whole, and if no cut that streams use becomes narrower meanwhile or after it.
"""

from collections.abc import Collection, Mapping, Sequence

from msgspec.structs import replace

from radishfield.capacity import HeldLayers, chain_carries, chain_flow
from radishfield.routing._layout import (
    MIN_REQUESTS_FOR_COPY,
    Assignment,
    layers_beside,
)
from radishfield.routing._stream_room import held_layers
from radishfield.routing._types import EngineSpec, LayerSpan, TargetRecord

KEPT_SHARE = 0.99
"""Share of a flow that counts as the same: flows are computed to a hundredth."""

MAX_PARTS = 4
"""Most movers that share one range of missing layers.  The plan has to be ready well
before the next check of the layers, and each number of parts adds some sets of moves
whose flows are computed, a millisecond or two each at a hundred targets."""

MAX_FIRST_MOVERS = 6
"""Sets of moves for each number of parts; see above."""

MAX_TRIED = 12
"""Sets of moves of one zone whose flows are computed."""

MOVE_COST_LAYERS = 4
"""Layers by which each further mover has to shorten the longest load: until its load
has ended it serves nothing, and what it held before has a copy less."""


class _Layers:
    """What usable targets hold while and after they load what was chosen so far.

    Attributes
    ----------
    now_by_id : dict
        Targets as they are until the loads end: those that load hold nothing.
    after_by_id : dict
        Targets as they are once all loads have ended.
    """

    __slots__ = ("_engine", "_movable_ids", "after_by_id", "now_by_id")

    def __init__(
        self,
        engine: EngineSpec,
        now_by_id: dict[str, TargetRecord],
        after_by_id: dict[str, TargetRecord],
        movable_ids: set[str],
    ):
        self._engine = engine
        self.now_by_id = now_by_id
        self.after_by_id = after_by_id
        self._movable_ids = movable_ids

    def with_moves(self, moves: Sequence[Assignment]) -> "_Layers":
        """Return the state with more moves."""
        now_by_id, after_by_id = dict(self.now_by_id), dict(self.after_by_id)
        for move in moves:
            del now_by_id[move.target.id]
            after_by_id[move.target.id] = replace(move.target, span=move.span)
        moved = {move.target.id for move in moves}
        return _Layers(self._engine, now_by_id, after_by_id, self._movable_ids - moved)

    def missing(self, zone: str | None) -> list[LayerSpan]:
        """Return the layers that a zone, or the fleet, lacks after all loads."""
        counts = self._copies(self.after_by_id.values(), zone)
        missing = []
        for layer, count in enumerate(counts):
            if count:
                continue
            if missing and missing[-1].end == layer:
                missing[-1] = LayerSpan(missing[-1].first, layer + 1)
            else:
                missing.append(LayerSpan(layer, layer + 1))
        return missing

    def movable(self, zone: str | None) -> list[TargetRecord]:
        """Return the targets, of a zone or all, that may move."""
        return [
            record
            for record in self.now_by_id.values()
            if record.id in self._movable_ids and zone in (None, record.zone)
        ]

    def copies_now(self, zone: str | None) -> list[int]:
        """Return how many targets, of a zone or all, hold each layer meanwhile."""
        return self._copies(self.now_by_id.values(), zone)

    def streams_now(self) -> list[float]:
        """Return the streams that each layer carries if holders divide them evenly."""
        streams = [0.0] * self._engine.layers
        for item in held_layers(self._engine, list(self.now_by_id.values())):
            share = item.layer_streams / (item.end - item.first)
            for layer in range(item.first, item.end):
                streams[layer] += share
        return streams

    def _copies(self, records: Collection[TargetRecord], zone: str | None) -> list[int]:
        counts = [0] * self._engine.layers
        for record in records:
            if record.span is not None and zone in (None, record.zone):
                for layer in range(record.span.first, record.span.end):
                    counts[layer] += 1
        return counts


def plan_repair(
    engine: EngineSpec,
    usable: Sequence[TargetRecord],
    lost: Collection[str | None],
    span_by_loading_id: Mapping[str, LayerSpan],
    free_loads: int,
    kept_ids: Collection[str] = (),
) -> list[Assignment]:
    """Return the next moves that make zones, or the fleet, whole again.

    Parameters
    ----------
    usable : sequence of TargetRecord
        A service's targets without those that are suspected or leave.
    lost : collection of str or None
        Zones to make whole; None stands for the fleet.
    span_by_loading_id : mapping
        What targets load, or empty ones are about to, by target.
    free_loads : int
        Loads that may begin now; the rest of a repair follows at a later call.
    kept_ids : collection of str
        Targets that may not be moved now.
    """
    if free_loads <= 0:
        return []
    state = _starting_state(engine, usable, span_by_loading_id, kept_ids)

    def rank(zone: str | None) -> tuple[bool, int, str]:
        missing = sum(len(span) for span in state.missing(zone))
        return zone is not None, missing, zone or ""

    orders: list[Assignment] = []
    for zone in sorted(lost, key=rank):
        missing = state.missing(zone)
        if not missing:
            continue
        chosen = _repair(engine, state, zone, missing)
        state = state.with_moves(chosen)
        orders += sorted(chosen, key=lambda move: (len(move.span), move.target.id))
        if len(orders) >= free_loads:
            break
    return orders[:free_loads]


def whole_zones(engine: EngineSpec, records: Sequence[TargetRecord]) -> set[str | None]:
    """Return the zones that hold every layer, and None if the fleet does."""
    state = _Layers(engine, {}, {record.id: record for record in records}, set())
    zones = {None, *(record.zone for record in records)}
    return {zone for zone in zones if not state.missing(zone)}


def _starting_state(
    engine: EngineSpec,
    usable: Sequence[TargetRecord],
    span_by_loading_id: Mapping[str, LayerSpan],
    kept_ids: Collection[str],
) -> _Layers:
    placed = [record for record in usable if record.span is not None]
    now_by_id = {
        record.id: record for record in placed if record.id not in span_by_loading_id
    }
    after_by_id = dict(now_by_id)
    for record in usable:
        if record.id in span_by_loading_id:
            span = span_by_loading_id[record.id]
            after_by_id[record.id] = replace(record, span=span)
    return _Layers(engine, now_by_id, after_by_id, set(now_by_id) - set(kept_ids))


def _repair(
    engine: EngineSpec,
    state: _Layers,
    zone: str | None,
    missing: Sequence[LayerSpan],
) -> list[Assignment]:
    """Return moves that bring all missing layers, or none."""
    needed_by_zone: dict[str | None, float] = {}
    for chosen in _choices(engine, state, zone, missing)[:MAX_TRIED]:
        if _keeps_flows(engine, state, chosen, needed_by_zone):
            return chosen
    return []


def _choices(
    engine: EngineSpec,
    state: _Layers,
    zone: str | None,
    missing: Sequence[LayerSpan],
) -> list[list[Assignment]]:
    """Return sets of moves that bring all missing layers, the shortest load first.

    Few targets can take a long range and many a short one, so the longest ranges choose
    first.  Whole ranges need the fewest loads; halves and thirds end sooner and fit
    smaller targets.  The movers are those whose layers carry the most streams in the
    fleet, and then those that hold the least.  Flows through pieces of unlike targets
    can't be foreseen from sums, so further sets leave out what the last ones moved.
    """
    pool = _Pool(engine, state, zone)
    choices: list[list[Assignment]] = []
    for parts in range(1, MAX_PARTS + 1):
        pieces = sorted(
            (piece for span in missing for piece in _pieces(span, parts)),
            key=lambda piece: (-len(piece), piece.first),
        )
        passed_over: set[LayerSpan] = set()
        for _ in range(MAX_FIRST_MOVERS):
            chosen = pool.choose(pieces, passed_over)
            if not chosen:
                break
            if chosen not in choices:
                choices.append(chosen)
            passed_over.add(chosen[0].target.span)
    choices.sort(
        key=lambda chosen: (
            max(len(move.span) for move in chosen) * _rounds(engine, chosen)
            + MOVE_COST_LAYERS * len(chosen),
            sum(len(move.target.span) for move in chosen),
        )
    )
    return choices


def _rounds(engine: EngineSpec, chosen: Sequence[Assignment]) -> int:
    """Return how often all concurrent loads run until the last move has ended."""
    return -(-len(chosen) // max(1, engine.concurrent_loads))


def _pieces(span: LayerSpan, parts: int) -> list[LayerSpan]:
    """Divide a range into parts that differ by at most one layer."""
    parts = min(parts, len(span))
    bounds = [span.first + len(span) * part // parts for part in range(parts + 1)]
    return [LayerSpan(*pair) for pair in zip(bounds, bounds[1:], strict=False)]


class _Pool:
    """Targets that may move, and what is held of the layers that they would give up."""

    __slots__ = ("_copies_by_zone", "_most_by_id", "_reason", "_records", "_streams")

    def __init__(self, engine: EngineSpec, state: _Layers, zone: str | None):
        self._records = state.movable(zone)
        self._most_by_id = {
            record.id: _most_layers(engine, record) for record in self._records
        }
        zones = {record.zone for record in self._records}
        self._copies_by_zone = {item: state.copies_now(item) for item in zones}
        self._streams = state.streams_now()
        where = "the fleet" if zone is None else f"zone {zone}"
        self._reason = f"missing in {where}"

    def choose(
        self, pieces: Sequence[LayerSpan], passed_over: Collection[LayerSpan]
    ) -> list[Assignment]:
        """Return a mover for each piece, or nothing if one finds none.

        Parameters
        ----------
        passed_over : collection of LayerSpan
            Targets that hold these do not move.
        """
        copies_by_zone = {
            zone: list(copies) for zone, copies in self._copies_by_zone.items()
        }
        candidates = [item for item in self._records if item.span not in passed_over]
        candidates.sort(key=self._preference)
        chosen: list[Assignment] = []
        for piece in pieces:
            mover = next(
                (
                    record
                    for record in candidates
                    if self._most_by_id[record.id] >= len(piece)
                    and _is_held_twice(copies_by_zone[record.zone], record.span)
                ),
                None,
            )
            if mover is None:
                return []
            candidates.remove(mover)
            for layer in range(mover.span.first, mover.span.end):
                copies_by_zone[mover.zone][layer] -= 1
            chosen.append(Assignment(mover, piece, self._reason))
        return chosen

    def _preference(self, record: TargetRecord) -> tuple[float, int, str]:
        spare = min(self._streams[record.span.first : record.span.end])
        return (-spare, len(record.span), record.id)


def _is_held_twice(copies: Sequence[int], span: LayerSpan) -> bool:
    return min(copies[span.first : span.end]) >= 2


def _most_layers(engine: EngineSpec, record: TargetRecord) -> int:
    accelerator = engine.accelerator_by_name.get(record.accelerator)
    if accelerator is None:
        return 0
    return layers_beside(engine, accelerator, MIN_REQUESTS_FOR_COPY)


def _keeps_flows(
    engine: EngineSpec,
    before: _Layers,
    chosen: Sequence[Assignment],
    needed_by_zone: dict[str | None, float],
) -> bool:
    """Return whether no flow is narrower during or after some moves.

    Only those of the fleet and of the movers' zones can be: nothing else changes.

    Parameters
    ----------
    needed_by_zone : dict
        Flows that may not be narrowed, kept between calls with the same ``before``.
    """
    after = before.with_moves(chosen)
    for zone in (None, *sorted({move.target.zone for move in chosen})):
        if zone not in needed_by_zone:
            held = _held(engine, before.now_by_id, zone)
            flow = chain_flow(held, engine.layers).streams if held else 0.0
            needed_by_zone[zone] = KEPT_SHARE * flow
        needed = needed_by_zone[zone]
        if needed == 0.0:
            continue
        for record_by_id in (after.now_by_id, after.after_by_id):
            held = _held(engine, record_by_id, zone)
            if not chain_carries(held, engine.layers, needed):
                return False
    return True


def _held(
    engine: EngineSpec, record_by_id: Mapping[str, TargetRecord], zone: str | None
) -> list[HeldLayers]:
    """Return what the targets of a zone, or all, hold and carry."""
    records = [
        record for record in record_by_id.values() if zone in (None, record.zone)
    ]
    return held_layers(engine, records)
