"""Plans which layers of a model each empty target should load.

Zones have unequal sets of accelerators, any zone may be disconnected from the others,
and accelerators fail one at a time.  So each zone first gets complete copies of the
model, packed side by side, and only the remaining targets are placed where the fleet
holds the fewest copies.  Layers are assigned in blocks of one size with common
boundaries: any target can then replace a stage of any other, and a path has few
boundaries to choose from.

An accelerator's memory is shared between layers and the cache of running requests.
Filled with layers it runs no requests, filled with cache it does not shorten any path.
How much memory requests need differs by a factor of three between models, so an
accelerator holds as many layers as leave memory for a fixed number of typical requests.
A zone that would lack a complete copy for want of a few layers fills its accelerators
further.
"""

from collections.abc import Sequence

import msgspec

from radishfield.routing._types import Accelerator, EngineSpec, LayerSpan, TargetRecord

MIN_REQUESTS = 40
"""Typical requests that fit beside an accelerator's layers: as many as the steps of a
chain can serve on time."""

MIN_REQUESTS_FOR_COPY = 30
"""The same in a zone that would otherwise lack a copy: with fewer, requests are evicted
in the middle of their streams at a typical load."""

FALLBACK_LAYER_SHARE = 0.68
"""Share of an accelerator's memory for layers if the configuration does not give the
cache of a typical request."""

MAX_UNUSED_SHARE = 0.05
"""Share of the accelerators' memory that larger blocks may leave unused: having fewer
stage boundaries is worth more than a twentieth of a copy."""


class Assignment(msgspec.Struct, frozen=True):
    """A target, the layers that it should load, and why."""

    target: TargetRecord
    span: LayerSpan
    reason: str = "empty"


def block_layers(engine: EngineSpec) -> int:
    """Return the largest block size that uses the accelerators' memory well.

    A larger size is preferred if it leaves at most `MAX_UNUSED_SHARE` more of the
    memory unused than the best one: it gives fewer stage boundaries, shorter paths.
    """
    sizes = [size for size in range(1, engine.layers + 1) if engine.layers % size == 0]
    best = max(_memory_share_used(engine, size) for size in sizes)
    return max(
        size
        for size in sizes
        if _memory_share_used(engine, size) >= best - MAX_UNUSED_SHARE
    )


def layers_beside(
    engine: EngineSpec, accelerator: Accelerator, requests: int = MIN_REQUESTS
) -> int:
    """Return the most layers beside which a number of typical requests fits."""
    if engine.layer_mb <= 0:
        return 0
    request_mb = engine.usual_tokens * engine.layer_cache_bytes / 1e6
    if request_mb <= 0:
        layers = int(accelerator.memory_mb * FALLBACK_LAYER_SHARE / engine.layer_mb)
    else:
        needed = min(requests, engine.slots)
        layers = int(accelerator.memory_mb / (engine.layer_mb + needed * request_mb))
    return min(engine.layers, layers)


def layout_problems(engine: EngineSpec) -> list[str]:
    """Return what in an engine's configuration keeps layers from being planned."""
    problems = [
        f"accelerator {name} holds no layer of {engine.layer_mb:g} MB"
        for name, accelerator in sorted(engine.accelerator_by_name.items())
        if layers_beside(engine, accelerator) == 0
    ]
    if engine.usual_tokens <= 0 or engine.cache_bytes_per_token <= 0:
        share = FALLBACK_LAYER_SHARE
        problems.append(f"no size of a request's cache, layers take {share:.0%}")
    if not engine.accelerator_by_name:
        problems.append("no accelerators")
    return problems


def _count_blocks(
    engine: EngineSpec, record: TargetRecord, size: int, requests: int = MIN_REQUESTS
) -> int:
    """Return how many blocks a target's accelerator holds, at most all of the model."""
    accelerator = engine.accelerator_by_name.get(record.accelerator)
    if accelerator is None:
        return 0
    return layers_beside(engine, accelerator, requests) // size


def plan_layout(
    engine: EngineSpec, records: Sequence[TargetRecord]
) -> list[Assignment]:
    """Return the layers to load on empty targets, given what the others hold."""
    size = block_layers(engine)
    blocks = engine.layers // size
    copies = _count_copies(records, size, blocks)
    empty = [record for record in records if record.span is None]
    assignments: list[Assignment] = []
    for zone in sorted({record.zone for record in records}):
        zone_empty = [record for record in empty if record.zone == zone]
        missing = copies.missing_blocks(zone, 0, blocks)
        width_by_id = _block_counts(engine, zone_empty, size, missing)
        zone_empty.sort(key=lambda record: (-width_by_id[record.id], record.id))
        for record in zone_empty:
            width = width_by_id[record.id]
            if width == 0:
                continue
            first = copies.least_replicated(zone, width)
            span = LayerSpan(first * size, (first + width) * size)
            copies.count(zone, span, size)
            assignments.append(Assignment(record, span))
    return _most_needed_first(assignments, _count_copies(records, size, blocks), size)


def _block_counts(
    engine: EngineSpec, empty: Sequence[TargetRecord], size: int, missing: int
) -> dict[str, int]:
    """Return how many blocks each empty target of a zone should hold, by its id.

    Without a complete copy a zone sends every prompt across the links between zones,
    where it waits behind those of all others.  So if the targets are too small for the
    zone's ``missing`` blocks, they take one more each, the least filled ones first.
    """
    width_by_id = {record.id: _count_blocks(engine, record, size) for record in empty}
    lacking = missing - sum(width_by_id.values())
    spare_by_id = {
        record.id: _count_blocks(engine, record, size, MIN_REQUESTS_FOR_COPY)
        - width_by_id[record.id]
        for record in empty
    }
    if not 0 < lacking <= sum(spare_by_id.values()):
        return width_by_id
    for _ in range(lacking):
        widened = max(spare_by_id, key=lambda item: (spare_by_id[item], item))
        width_by_id[widened] += 1
        spare_by_id[widened] -= 1
    return width_by_id


def next_loads(
    assignments: Sequence[Assignment], loading: int, concurrent: int
) -> Sequence[Assignment]:
    """Return the assignments whose loads should start now.

    A quarter of the targets may return empty at once.  The weight store serves a few
    loads at full speed and slows all of them down beyond that, so loads that start
    together all end late.  Started one after the other, the first zone has a complete
    copy in the time of its own loads.

    Parameters
    ----------
    assignments : sequence of Assignment
        The most needed first, as `plan_layout` returns them.
    loading : int
        Number of loads in progress.
    concurrent : int
        Number of loads that the weight store serves at full speed.
    """
    return assignments[: max(0, concurrent - loading)]


def _most_needed_first(
    assignments: list[Assignment], held: "_Copies", size: int
) -> list[Assignment]:
    """Order assignments: first blocks missing in the fleet, then in their zone.

    The first restore a path at all, the second a path within the zone.  Zones with
    fewer missing blocks come first, since they are complete again soonest.
    """

    def rank(assignment: Assignment) -> tuple[bool, bool, int, str, int]:
        first, end = assignment.span.first // size, assignment.span.end // size
        zone = assignment.target.zone
        return (
            held.min_fleet_copies(first, end) > 0,
            held.missing_blocks(zone, first, end) == 0,
            held.missing_blocks(zone, 0, held.blocks),
            zone,
            -len(assignment.span),
        )

    return sorted(assignments, key=rank)


def _count_copies(records: Sequence[TargetRecord], size: int, blocks: int) -> "_Copies":
    """Count the copies that the targets hold now."""
    copies = _Copies(blocks)
    for record in records:
        if record.span is not None:
            copies.count(record.zone, record.span, size)
    return copies


def plan_move(engine: EngineSpec, records: Sequence[TargetRecord]) -> Assignment | None:
    """Return one target and the layers it should hold instead, or None.

    Targets may leave permanently without an empty one replacing them.  A zone without
    a copy of a block sends every prompt across the links and back, and a fleet that
    holds a block half as often as the others is as slow as that block.  A target moves
    only if its own zone keeps another copy of each block it gives up, and only to
    blocks that are missing in its zone or have at least two copies fewer in the fleet:
    a move costs a load of weights, and its target serves nothing meanwhile.
    """
    size = block_layers(engine)
    copies = _count_copies(records, size, engine.layers // size)
    placed = [record for record in records if record.span is not None]
    # The smallest spans load fastest and give up the fewest layers.
    for record in sorted(placed, key=lambda item: (len(item.span), item.id)):
        span = _better_span(copies, record, size)
        if span is not None:
            return Assignment(record, span, "few copies")
    return None


def _better_span(
    copies: "_Copies", record: TargetRecord, size: int
) -> LayerSpan | None:
    if record.span.first % size or record.span.end % size:
        return None
    first, end = record.span.first // size, record.span.end // size
    if copies.min_copies(record.zone, first, end) < 2:
        return None
    copies.count(record.zone, record.span, size, sign=-1)
    new_first = copies.least_replicated(record.zone, end - first)
    gains = copies.missing_blocks(record.zone, new_first, new_first + end - first)
    losses = copies.missing_blocks(record.zone, first, end)
    copies_there = copies.min_fleet_copies(new_first, new_first + end - first)
    copies_here = copies.min_fleet_copies(first, end)
    copies.count(record.zone, record.span, size)
    if gains > losses or (gains == losses and copies_there + 2 <= copies_here):
        return LayerSpan(new_first * size, (new_first + end - first) * size)
    return None


def _memory_share_used(engine: EngineSpec, size: int) -> float:
    """Return the mean share of accelerator memory that blocks of this size fill.

    Accelerators that are too small for any layer do not count.
    """
    shares = []
    for accelerator in engine.accelerator_by_name.values():
        layers = layers_beside(engine, accelerator)
        if layers == 0:
            continue
        blocks = layers // size
        if blocks == 0:
            return 0.0
        shares.append(blocks * size * engine.layer_mb / accelerator.memory_mb)
    return sum(shares) / max(1, len(shares))


class _Copies:
    """Number of copies of each block, by zone."""

    __slots__ = ("_count_by_zone", "blocks")

    def __init__(self, blocks: int):
        self.blocks = blocks
        self._count_by_zone: dict[str, list[int]] = {}

    def count(self, zone: str, span: LayerSpan, size: int, sign: int = 1) -> None:
        """Add a target's blocks; a block that is held only in part does not count."""
        counts = self._zone_counts(zone)
        for block in range(-(-span.first // size), span.end // size):
            counts[block] += sign

    def min_copies(self, zone: str, first: int, end: int) -> int:
        """Return a zone's smallest number of copies among a range of blocks."""
        return min(self._zone_counts(zone)[first:end])

    def missing_blocks(self, zone: str, first: int, end: int) -> int:
        """Return how many blocks in a range have no copy in a zone."""
        return self._zone_counts(zone)[first:end].count(0)

    def min_fleet_copies(self, first: int, end: int) -> int:
        """Return the fleet's smallest number of copies among a range of blocks."""
        return min(self._fleet_counts()[first:end])

    def least_replicated(self, zone: str, width: int) -> int:
        """Return the first block of the range of ``width`` with the fewest copies.

        Copies within the zone are compared first, so that a disconnected zone has
        complete copies; ties are decided by copies in the fleet, so that the targets
        left over in several zones together form further copies.
        """
        zone_counts = self._zone_counts(zone)
        fleet_counts = self._fleet_counts()
        starts = range(self.blocks - width + 1)
        return min(
            starts,
            key=lambda start: (
                max(zone_counts[start : start + width]),
                sum(zone_counts[start : start + width]),
                sum(fleet_counts[start : start + width]),
                start,
            ),
        )

    def _fleet_counts(self) -> list[int]:
        zones = self._count_by_zone.values()
        if not zones:
            return [0] * self.blocks
        return [sum(counts) for counts in zip(*zones, strict=True)]

    def _zone_counts(self, zone: str) -> list[int]:
        return self._count_by_zone.setdefault(zone, [0] * self.blocks)
