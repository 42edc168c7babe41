"""Moves a request's KV cache to the stages of its next route."""

import trio
from expression import Result

from radishfield.core import KvState, LayerRange, Route, Target, TargetPort

# Importing the cache only saves time.  After this timeout the new stage rebuilds it
# from the committed tokens, which is always correct.
MOVE_TIMEOUT_S = 2.0


async def move_kv(
    targets: TargetPort,
    targets_by_id: dict[str, Target],
    request_id: str,
    exporters: tuple[str, ...],
    route: Route,
) -> int:
    """Export the cache from each exporter and import it where the new route needs it.

    Returns
    -------
    int
        Number of imports that succeeded.  A failed move does not fail the
        request, since the stage rebuilds its cache.
    """
    moved = 0
    with trio.move_on_after(MOVE_TIMEOUT_S):
        for exporter_id in exporters:
            exporter = targets_by_id.get(exporter_id)
            if exporter is None:
                continue
            match await targets.export_kv(exporter, request_id):
                case Result(tag="ok", ok=state):
                    moved += await _import(targets, targets_by_id, state, route)
    return moved


async def _import(
    targets: TargetPort,
    targets_by_id: dict[str, Target],
    state: KvState,
    route: Route,
) -> int:
    moved = 0
    for stage in route.stages:
        importer = targets_by_id.get(stage.target_id)
        if importer is None or stage.target_id == state.target_id:
            continue
        if not _overlap(stage.layers, state.layers):
            continue
        result = await targets.import_kv(importer, state)
        moved += 1 if result.is_ok() else 0
    return moved


def _overlap(one: LayerRange, other: LayerRange) -> bool:
    return one.first < other.end and other.first < one.end
