"""Which target should hold which layers, for a service whose targets are empty.

Load pattern: zones with unequal sets of cards, each of which may be cut off from
the others, and cards that die one at a time.  So each zone first gets whole copies
of the model, packed side by side, and only what is left over is spread where the
fleet holds the fewest copies.  Layers are dealt in blocks of one size with common
boundaries: any target can then stand in for a part of any other, and a path has
few cuts to choose from.

A card's memory is shared between layers and the cache of running requests.  Filled
with layers it runs no requests, filled with cache it shortens no path; `FILL` is
the middle, from which block size and blocks a card are derived.
"""

from collections.abc import Sequence

import msgspec

from radishfield.routing._types import EngineSpec, LayerSpan, TargetRecord

FILL = 0.68
"""Most of a card's memory that layers take.  With the users' cards, two thirds for
layers leave room for some forty requests of usual size on every part of a chain,
as many as its steps carry in time; at 0.8 memory binds at half of that."""

WASTE = 0.05
"""Share of the cards' memory that larger blocks may leave unused: what they save
in cuts is worth more than a twentieth of a copy."""


class Assignment(msgspec.Struct, frozen=True):
    """A target that should hold layers that it does not hold."""

    target: TargetRecord
    span: LayerSpan


def block_layers(engine: EngineSpec) -> int:
    """Return the block size that wastes the least of the cards' memory.

    Larger blocks are better where they waste no more: fewer cuts, shorter paths.
    """
    sizes = [size for size in range(1, engine.layers + 1) if engine.layers % size == 0]
    most = max(_used(engine, size) for size in sizes)
    return max(size for size in sizes if _used(engine, size) >= most - WASTE)


def blocks_of(engine: EngineSpec, record: TargetRecord, size: int) -> int:
    """Return the blocks that fit a target's card, at most the whole model."""
    card = engine.accelerator_by_name.get(record.accelerator)
    if card is None:
        return 0
    blocks = int(card.memory_mb * FILL / (engine.layer_mb * size))
    return min(blocks, engine.layers // size)


def plan_layout(
    engine: EngineSpec, records: Sequence[TargetRecord]
) -> list[Assignment]:
    """Return what the empty targets should hold, given what the others hold."""
    size = block_layers(engine)
    blocks = engine.layers // size
    copies = _held(records, size, blocks)
    empty = [record for record in records if record.span is None]
    assignments: list[Assignment] = []
    for zone in sorted({record.zone for record in records}):
        own = [record for record in empty if record.zone == zone]
        own.sort(key=lambda record: (-blocks_of(engine, record, size), record.id))
        while own:
            record = own.pop(0)
            width = blocks_of(engine, record, size)
            if width == 0:
                continue
            first = copies.neediest(zone, width)
            span = LayerSpan(first * size, (first + width) * size)
            copies.count(zone, span, size)
            assignments.append(Assignment(record, span))
    return _most_needed_first(assignments, _held(records, size, blocks), size)


def next_loads(
    assignments: Sequence[Assignment], loading: int, concurrent: int
) -> Sequence[Assignment]:
    """Return the assignments whose loads should start now.

    Load pattern: a quarter of the targets comes back empty at once.  The store of
    weights serves a few loads at full speed and slows all of them down beyond that,
    so loads that start together end together, late; one after the other the first
    zone has a whole copy in the time of its own loads.

    Parameters
    ----------
    assignments : sequence of Assignment
        The most needed first, as `plan_layout` returns them.
    loading : int
        Loads that are under way.
    concurrent : int
        Loads that the store of weights serves at full speed.
    """
    return assignments[: max(0, concurrent - loading)]


def _most_needed_first(
    assignments: list[Assignment], held: "_Copies", size: int
) -> list[Assignment]:
    """Put first what brings a path back, and then a path within a zone.

    A zone that lacks little is whole again soonest.
    """

    def rank(assignment: Assignment) -> tuple[bool, bool, int, str, int]:
        first, end = assignment.span.first // size, assignment.span.end // size
        zone = assignment.target.zone
        return (
            held.fleet_least(first, end) > 0,
            held.lacks(zone, first, end) == 0,
            held.lacks(zone, 0, held.blocks),
            zone,
            -len(assignment.span),
        )

    return sorted(assignments, key=rank)


def _held(records: Sequence[TargetRecord], size: int, blocks: int) -> "_Copies":
    """Return the copies that the targets hold now."""
    copies = _Copies(blocks)
    for record in records:
        if record.span is not None:
            copies.count(record.zone, record.span, size)
    return copies


def plan_move(engine: EngineSpec, records: Sequence[TargetRecord]) -> Assignment | None:
    """Return the one move of layers that helps most, or None.

    Load pattern: targets leave for good, and no empty one comes.  A zone that lacks
    a block sends every prompt across the links and back; a fleet that holds a block
    half as often as the others is as slow as that block.  A target moves only if
    its own zone keeps another copy of all it gives up, and only to what is missing
    in its zone or held at least two times less often in the fleet: a move costs a
    load of weights, and its target serves nothing meanwhile.
    """
    size = block_layers(engine)
    copies = _held(records, size, engine.layers // size)
    placed = [record for record in records if record.span is not None]
    # The smallest are loaded soonest and give up least.
    for record in sorted(placed, key=lambda item: (len(item.span), item.id)):
        span = _better_span(copies, record, size)
        if span is not None:
            return Assignment(record, span)
    return None


def _better_span(
    copies: "_Copies", record: TargetRecord, size: int
) -> LayerSpan | None:
    if record.span.first % size or record.span.end % size:
        return None
    first, end = record.span.first // size, record.span.end // size
    if copies.least(record.zone, first, end) < 2:
        return None
    copies.count(record.zone, record.span, size, sign=-1)
    place = copies.neediest(record.zone, end - first)
    gains = copies.lacks(record.zone, place, place + end - first)
    losses = copies.lacks(record.zone, first, end)
    there = copies.fleet_least(place, place + end - first)
    here = copies.fleet_least(first, end)
    copies.count(record.zone, record.span, size)
    if gains > losses or (gains == losses and there + 2 <= here):
        return LayerSpan(place * size, (place + end - first) * size)
    return None


def _used(engine: EngineSpec, size: int) -> float:
    """Return the mean share of the cards' memory that layers in such blocks take."""
    shares = []
    for card in engine.accelerator_by_name.values():
        blocks = min(
            int(card.memory_mb * FILL / (engine.layer_mb * size)),
            engine.layers // size,
        )
        if blocks == 0:
            return 0.0
        shares.append(blocks * size * engine.layer_mb / card.memory_mb)
    return sum(shares) / max(1, len(shares))


class _Copies:
    """Copies of each block, by zone."""

    __slots__ = ("_count_by_zone", "blocks")

    def __init__(self, blocks: int):
        self.blocks = blocks
        self._count_by_zone: dict[str, list[int]] = {}

    def count(self, zone: str, span: LayerSpan, size: int, sign: int = 1) -> None:
        """Count a target's layers; a block that is held in part does not count."""
        counts = self._of(zone)
        for block in range(-(-span.first // size), span.end // size):
            counts[block] += sign

    def least(self, zone: str, first: int, end: int) -> int:
        """Return the fewest copies of a block that a zone has."""
        return min(self._of(zone)[first:end])

    def lacks(self, zone: str, first: int, end: int) -> int:
        """Return how many of some blocks a zone has no copy of."""
        return self._of(zone)[first:end].count(0)

    def fleet_least(self, first: int, end: int) -> int:
        """Return the fewest copies of a block that the fleet has."""
        return min(self._fleet()[first:end])

    def neediest(self, zone: str, width: int) -> int:
        """Return the first block of the place that lacks copies the most.

        First the zone's own lack decides, so that a zone that is cut off has whole
        copies; among equals the fleet's, so that what the zones have left over
        joins to further copies.
        """
        own = self._of(zone)
        fleet = self._fleet()
        places = range(self.blocks - width + 1)
        return min(
            places,
            key=lambda at: (
                max(own[at : at + width]),
                sum(own[at : at + width]),
                sum(fleet[at : at + width]),
                at,
            ),
        )

    def _fleet(self) -> list[int]:
        zones = self._count_by_zone.values()
        if not zones:
            return [0] * self.blocks
        return [sum(counts) for counts in zip(*zones, strict=True)]

    def _of(self, zone: str) -> list[int]:
        return self._count_by_zone.setdefault(zone, [0] * self.blocks)
