"""Streams that targets carry at a time when each holds a part of the layers.

Load: a fleet of unlike accelerators after a loss.  Copies of layers say how many
targets may be lost, not how much is carried: a layer with three copies on small
accelerators bounds all streams while others have room to spare.

A target may run any piece of its layers for each stream.  So the streams that fit are
those for which the work at every layer can be divided among its holders.  The holders
of a layer form an interval of layers, and then a greedy division is exact: layer by
layer, the work goes first to the holder whose layers end soonest.
"""

import heapq
from collections.abc import Sequence

from radishfield.capacity._data import ChainFlow, HeldLayers

PRECISION = 0.01
"""Share of the flow to which it is computed; requests differ in size by more."""


def chain_flow(held: Sequence[HeldLayers], layers: int) -> ChainFlow:
    """Return the largest flow of streams through all layers.

    Parameters
    ----------
    held : sequence of HeldLayers
        What each target holds; targets of several zones count as if no link lay
        between them.
    layers : int
        Layers of the model.
    """
    amount_by_span = _amount_by_span(held, layers)
    segments = _segments(amount_by_span, layers)
    bounds = [
        sum(
            amount
            for (first, end), amount in amount_by_span.items()
            if first < segment_end and end > segment_first
        )
        / (segment_end - segment_first)
        for segment_first, segment_end in segments
    ]
    high = min(bounds)
    broken_at = segments[bounds.index(high)]
    if high <= 0.0:
        return ChainFlow(0.0, broken_at)
    if _first_broken(amount_by_span, segments, high) is None:
        return ChainFlow(high, broken_at)
    low = 0.0
    while high - low > PRECISION * high:
        middle = (low + high) / 2
        broken = _first_broken(amount_by_span, segments, middle)
        if broken is None:
            low = middle
        else:
            high, broken_at = middle, broken
    return ChainFlow(low, broken_at)


def chain_carries(held: Sequence[HeldLayers], layers: int, streams: float) -> bool:
    """Return whether some streams fit through all layers.

    It takes one division of the work, while `chain_flow` searches with several.
    """
    amount_by_span = _amount_by_span(held, layers)
    segments = _segments(amount_by_span, layers)
    return _first_broken(amount_by_span, segments, streams) is None


def _amount_by_span(
    held: Sequence[HeldLayers], layers: int
) -> dict[tuple[int, int], float]:
    """Return the layer-streams of all targets that hold the same layers."""
    amount_by_span: dict[tuple[int, int], float] = {}
    for item in held:
        span = max(0, item.first), min(layers, item.end)
        if span[0] < span[1] and item.layer_streams > 0.0:
            amount_by_span[span] = amount_by_span.get(span, 0.0) + item.layer_streams
    return amount_by_span


def _segments(
    amount_by_span: dict[tuple[int, int], float], layers: int
) -> list[tuple[int, int]]:
    """Return the ranges of layers that are held by the same targets throughout."""
    bounds = {0, layers}
    for first, end in amount_by_span:
        bounds.update((first, end))
    ordered = sorted(bounds)
    return list(zip(ordered, ordered[1:], strict=False))


def _first_broken(
    amount_by_span: dict[tuple[int, int], float],
    segments: Sequence[tuple[int, int]],
    streams: float,
) -> tuple[int, int] | None:
    """Return the first range of layers that can't carry some streams, or None."""
    spans = sorted(amount_by_span.items())
    started = 0
    open_by_end: list[list[float]] = []
    for first, end in segments:
        while started < len(spans) and spans[started][0][0] <= first:
            (_, span_end), amount = spans[started]
            heapq.heappush(open_by_end, [span_end, amount])
            started += 1
        while open_by_end and open_by_end[0][0] <= first:
            heapq.heappop(open_by_end)
        needed = streams * (end - first)
        while needed > 1e-9:
            if not open_by_end:
                return first, end
            taken = min(needed, open_by_end[0][1])
            needed -= taken
            open_by_end[0][1] -= taken
            if open_by_end[0][1] <= 1e-9:
                heapq.heappop(open_by_end)
    return None
