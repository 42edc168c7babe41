"""How many tokens a second the hardware allows, and through which targets.

Load pattern: saturation on mixed accelerators that hold different layer ranges,
on links that differ a hundredfold.  Spreading evenly fills the slow stages'
queues while fast ones starve.  A maximum flow from the first layer to the last
gives the bound and the share of each target in it (Helix's idea).

Boundaries between layers are nodes, rather than an edge for each pair of
targets: 1,100 targets need thousands of edges, not 132,753, and the flow takes
milliseconds.  Targets of other zones are joined by zone and range, since only
the sum that the link carries matters from here.
"""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

import networkx
from networkx.algorithms.flow import preflow_push

from radishfield.core import Link, Target

UNKNOWN_SPEED_TPS = 50.0
"""Speed assumed where none is declared, until answers tell."""

EVEN_PART = 0.5
"""Part of a weight that follows speed alone.  A maximum flow may leave one of
two equal targets idle behind a bottleneck; half by speed keeps both in use."""

SCALE = 1000
"""Capacities are whole thousandths: preflow-push needs exact arithmetic."""


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
class Group:
    """Targets that are one node of the flow: alike in zone and range."""

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
    groups = _group(targets, zone, speed_by_target)
    model_layers = targets[0].model_layers
    graph = _graph(groups, links, model_layers)
    model, version = targets[0].model, targets[0].model_version
    if not graph.has_node("sink") or not graph.has_node("source"):
        return FlowPlan(model, version)
    flow = _solve(graph)
    into_sink = sum(edges.get("sink", 0) for edges in flow.values())
    if into_sink == 0:
        return FlowPlan(model, version)
    return FlowPlan(
        model,
        version,
        into_sink / SCALE,
        _weights(groups, flow, speed_by_target),
        _crossings(flow),
    )


def speed_of(target: Target) -> float:
    """Return a target's declared speed, or the assumed one."""
    return target.speed_tps or UNKNOWN_SPEED_TPS


def _group(
    targets: Sequence[Target], zone: str, speed_by_target: dict[str, float]
) -> list[Group]:
    members = defaultdict(list)
    for target in targets:
        own = target.id if target.zone == zone else ""
        members[target.zone, target.layers.first, target.layers.end, own].append(target)
    return [
        Group(
            name,
            first,
            end,
            tuple(held),
            sum(speed_by_target.get(t.id, speed_of(t)) for t in held),
        )
        for (name, first, end, _), held in members.items()
    ]


def _graph(
    groups: list[Group], links: Sequence[Link], model_layers: int
) -> networkx.DiGraph:
    graph = networkx.DiGraph()
    boundaries = sorted({0} | {group.end for group in groups})
    for index, group in enumerate(groups):
        graph.add_edge(
            ("in", index), ("out", index), capacity=round(group.speed_tps * SCALE)
        )
        for layer in boundaries:
            if group.first <= layer < group.end:
                graph.add_edge((group.zone, layer), ("in", index))
        graph.add_edge(("out", index), (group.zone, group.end))
    zones = list(dict.fromkeys(group.zone for group in groups))
    for name in zones:
        graph.add_edge("source", (name, 0))
        graph.add_edge((name, model_layers), "sink")
    inner = [layer for layer in boundaries if 0 < layer < model_layers]
    for link in links:
        if link.from_zone == link.to_zone:
            continue
        if link.from_zone in zones and link.to_zone in zones:
            for layer in inner:
                graph.add_edge(
                    (link.from_zone, layer),
                    (link.to_zone, layer),
                    capacity=round(link.tokens_per_s * SCALE),
                )
    return graph


def _solve(graph: networkx.DiGraph) -> dict:
    # Numbers in place of names: networkx keeps nodes in sets, and the order of
    # names in a set changes with each process, and with it which of several
    # maximum flows is found.
    number_by_node = {node: number for number, node in enumerate(graph)}
    numbered = networkx.relabel_nodes(graph, number_by_node)
    residual = preflow_push(numbered, number_by_node["source"], number_by_node["sink"])
    flow = {}
    for node, number in number_by_node.items():
        passed = residual[number]
        flow[node] = {
            after: passed[number_by_node[after]]["flow"]
            for after in graph.successors(node)
            if passed[number_by_node[after]]["flow"] > 0
        }
    return flow


def _weights(
    groups: list[Group], flow: dict, speed_by_target: dict[str, float]
) -> dict[str, float]:
    total_by_range = defaultdict(float)
    speed_by_range = defaultdict(float)
    flows = [flow[("in", index)].get(("out", index), 0) for index in range(len(groups))]
    for group, passed in zip(groups, flows, strict=True):
        total_by_range[group.first, group.end] += passed / SCALE
        speed_by_range[group.first, group.end] += group.speed_tps
    weights = {}
    for group, passed in zip(groups, flows, strict=True):
        key = group.first, group.end
        even = total_by_range[key] / max(speed_by_range[key], 1e-9)
        share = passed / SCALE / max(group.speed_tps, 1e-9)
        per_speed = EVEN_PART * even + (1 - EVEN_PART) * share
        for target in group.targets:
            speed = speed_by_target.get(target.id, speed_of(target))
            weights[target.id] = speed * per_speed
    return weights


def _crossings(flow: dict) -> dict[tuple[str, str], float]:
    tps_by_crossing = defaultdict(float)
    for node, edges in flow.items():
        for after, passed in edges.items():
            if _is_boundary(node) and _is_boundary(after):
                tps_by_crossing[node[0], after[0]] += passed / SCALE
    return dict(tps_by_crossing)


def _is_boundary(node) -> bool:
    return isinstance(node, tuple) and node[0] not in ("in", "out")
