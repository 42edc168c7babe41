"""How many streams the layered targets of a service carry, and how many run.

Load: bursts at many hosts, and losses of targets, while memory beside the layers bounds
what runs.  A host that looks for a free path only sees that there is none; it can't
tell how much is left for whom.  The account says how much the targets carry through
every layer, zone by zone, and is the one from which admission and layouts decide.
"""

from collections.abc import Mapping, Sequence

from radishfield.capacity import HeldLayers, StreamRoom, chain_flow
from radishfield.routing._load import LoadTable
from radishfield.routing._paths import MAX_FILL, capacity_token_layers
from radishfield.routing._types import EngineSpec, TargetRecord


def held_layers(
    engine: EngineSpec, records: Sequence[TargetRecord]
) -> list[HeldLayers]:
    """Return what each target holds and carries, for those that hold layers.

    Parameters
    ----------
    records : sequence of TargetRecord
        Targets of one service that can be used now.
    """
    usual_tokens = max(1, engine.usual_tokens)
    return [
        HeldLayers(
            record.id,
            record.zone,
            record.span.first,
            record.span.end,
            _layer_streams(engine, record, usual_tokens),
        )
        for record in records
        if record.span is not None
    ]


def stream_totals(
    engine: EngineSpec, records: Sequence[TargetRecord]
) -> tuple[float, Mapping[str, float]]:
    """Return the streams that targets carry in all, and those of each zone alone."""
    held = held_layers(engine, records)
    zones = sorted({item.zone for item in held})
    by_zone = {
        zone: chain_flow([item for item in held if item.zone == zone], engine.layers)
        for zone in zones
    }
    total = chain_flow(held, engine.layers).streams if held else 0.0
    return total, {zone: flow.streams for zone, flow in by_zone.items()}


def stream_room(
    engine: EngineSpec,
    totals: tuple[float, Mapping[str, float]],
    records: Sequence[TargetRecord],
    load: LoadTable,
) -> StreamRoom:
    """Return the room of a service under the work that all hosts are known to have.

    Links between zones do not bound it: where they do, the search for a path says so.

    Parameters
    ----------
    totals : tuple
        As `stream_totals` returns them; they change only with the targets.
    """
    usual_tokens = max(1, engine.usual_tokens)
    token_layers = sum(load.held(record.id).token_layers for record in records)
    total, total_by_zone = totals
    return StreamRoom(
        total, token_layers / (usual_tokens * engine.layers), total_by_zone
    )


def _layer_streams(
    engine: EngineSpec, record: TargetRecord, usual_tokens: int
) -> float:
    """Return the streams times layers that a target carries at a time."""
    by_memory = capacity_token_layers(engine, record) * MAX_FILL / usual_tokens
    by_places = float(engine.slots * len(record.span))
    return max(0.0, min(by_memory, by_places))
