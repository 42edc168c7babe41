"""Computes the tokens per second that the hardware allows, and each target's share.

Mixed accelerators hold different layer ranges, on links that differ a hundredfold.
At saturation, spreading evenly fills the queues of slow stages while fast ones are
idle.  A maximum flow from the first layer to the last gives the upper bound and the
share of each target in it (the approach of Helix).

Boundaries between layers are nodes, instead of one edge for each pair of targets:
1,100 targets need thousands of edges, not 132,753, and the flow takes milliseconds.
Targets of other zones are grouped by zone and range, since only the total that the
link carries matters in this zone.
"""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

import networkx
from networkx.algorithms.flow import preflow_push

from radishfield.core import Link, Target

DEFAULT_SPEED_TPS = 50.0
"""Speed assumed where none is declared, until it is learned from answers."""

SPEED_ONLY_FRACTION = 0.5
"""Fraction of a weight that follows speed alone.  A maximum flow may leave one of two
equal targets idle behind a bottleneck; weighting half by speed keeps both in use."""

CAPACITY_SCALE = 1000
"""Capacities are integers in thousandths: preflow-push needs exact arithmetic."""


@dataclass(slots=True, frozen=True)
class FlowPlan:
    """The flow for one model version, as seen from one zone.

    Attributes
    ----------
    bound_tps : float
        Tokens per second that the hardware allows.
    weight_by_target : dict
        Tokens per second that each target should pass.
    tps_by_crossing : dict
        Tokens per second by (from zone, to zone).
    """

    model: str
    model_version: str
    bound_tps: float = 0.0
    weight_by_target: dict[str, float] = field(default_factory=dict)
    tps_by_crossing: dict[tuple[str, str], float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class TargetGroup:
    """Targets of one zone and layer range that form one node of the flow graph."""

    zone: str
    first: int
    end: int
    targets: tuple[Target, ...]
    speed_tps: float


def plan_flow(
    targets: Sequence[Target],
    links: Sequence[Link],
    zone: str,
    speed_by_target: dict[str, float],
) -> FlowPlan:
    """Return the flow over targets of one model version.

    Parameters
    ----------
    speed_by_target : dict
        Effective tokens per second, which learning may have corrected.
    """
    if not targets:
        return FlowPlan("", "")
    groups = _group_targets(targets, zone, speed_by_target)
    model_layers = targets[0].model_layers
    graph = _build_graph(groups, links, model_layers)
    model, version = targets[0].model, targets[0].model_version
    if not graph.has_node("sink") or not graph.has_node("source"):
        return FlowPlan(model, version)
    flow = _solve_max_flow(graph)
    into_sink = sum(edges.get("sink", 0) for edges in flow.values())
    if into_sink == 0:
        return FlowPlan(model, version)
    return FlowPlan(
        model,
        version,
        into_sink / CAPACITY_SCALE,
        _compute_weights(groups, flow, speed_by_target),
        _sum_crossings(flow),
    )


def speed_of(target: Target) -> float:
    """Return a target's declared speed, or the assumed one."""
    return target.speed_tps or DEFAULT_SPEED_TPS


def _group_targets(
    targets: Sequence[Target], zone: str, speed_by_target: dict[str, float]
) -> list[TargetGroup]:
    members_by_key = defaultdict(list)
    for target in targets:
        local_id = target.id if target.zone == zone else ""
        members_by_key[
            target.zone, target.layers.first, target.layers.end, local_id
        ].append(target)
    return [
        TargetGroup(
            group_zone,
            first,
            end,
            tuple(members),
            sum(speed_by_target.get(t.id, speed_of(t)) for t in members),
        )
        for (group_zone, first, end, _), members in members_by_key.items()
    ]


def _build_graph(
    groups: list[TargetGroup], links: Sequence[Link], model_layers: int
) -> networkx.DiGraph:
    graph = networkx.DiGraph()
    boundaries = sorted({0} | {group.end for group in groups})
    for index, group in enumerate(groups):
        graph.add_edge(
            ("in", index),
            ("out", index),
            capacity=round(group.speed_tps * CAPACITY_SCALE),
        )
        for layer in boundaries:
            if group.first <= layer < group.end:
                graph.add_edge((group.zone, layer), ("in", index))
        graph.add_edge(("out", index), (group.zone, group.end))
    zones = list(dict.fromkeys(group.zone for group in groups))
    for zone in zones:
        graph.add_edge("source", (zone, 0))
        graph.add_edge((zone, model_layers), "sink")
    inner = [layer for layer in boundaries if 0 < layer < model_layers]
    for link in links:
        if link.from_zone == link.to_zone:
            continue
        if link.from_zone in zones and link.to_zone in zones:
            for layer in inner:
                graph.add_edge(
                    (link.from_zone, layer),
                    (link.to_zone, layer),
                    capacity=round(link.tokens_per_s * CAPACITY_SCALE),
                )
    return graph


def _solve_max_flow(graph: networkx.DiGraph) -> dict:
    # Nodes are numbered because networkx keeps them in sets: the order of names in
    # a set differs between processes and would change which of several maximum
    # flows is found.
    number_by_node = {node: number for number, node in enumerate(graph)}
    numbered = networkx.relabel_nodes(graph, number_by_node)
    residual = preflow_push(numbered, number_by_node["source"], number_by_node["sink"])
    flow = {}
    for node, number in number_by_node.items():
        edges = residual[number]
        flow[node] = {
            successor: edges[number_by_node[successor]]["flow"]
            for successor in graph.successors(node)
            if edges[number_by_node[successor]]["flow"] > 0
        }
    return flow


def _compute_weights(
    groups: list[TargetGroup], flow: dict, speed_by_target: dict[str, float]
) -> dict[str, float]:
    total_by_range = defaultdict(float)
    speed_by_range = defaultdict(float)
    flows = [flow[("in", index)].get(("out", index), 0) for index in range(len(groups))]
    for group, node_flow in zip(groups, flows, strict=True):
        total_by_range[group.first, group.end] += node_flow / CAPACITY_SCALE
        speed_by_range[group.first, group.end] += group.speed_tps
    weights = {}
    for group, node_flow in zip(groups, flows, strict=True):
        key = group.first, group.end
        even = total_by_range[key] / max(speed_by_range[key], 1e-9)
        share = node_flow / CAPACITY_SCALE / max(group.speed_tps, 1e-9)
        per_speed = SPEED_ONLY_FRACTION * even + (1 - SPEED_ONLY_FRACTION) * share
        for target in group.targets:
            speed = speed_by_target.get(target.id, speed_of(target))
            weights[target.id] = speed * per_speed
    return weights


def _sum_crossings(flow: dict) -> dict[tuple[str, str], float]:
    tps_by_crossing = defaultdict(float)
    for node, edges in flow.items():
        for successor, edge_flow in edges.items():
            if _is_boundary(node) and _is_boundary(successor):
                tps_by_crossing[node[0], successor[0]] += edge_flow / CAPACITY_SCALE
    return dict(tps_by_crossing)


def _is_boundary(node) -> bool:
    return isinstance(node, tuple) and node[0] not in ("in", "out")
