"""Choice of the chain of targets that runs a request.

Mixed accelerators in three zones are joined by links whose rates differ a
hundredfold.  A chain chosen without regard to the links queues on the slowest.
Choosing by reports that show idle targets sends every entry host to the same
ones.

The search goes from layer 0 to the last.  At each boundary it takes, among the
targets that hold the next layer and have free capacity, the one with the least
work in flight for its weight.  The current zone comes first, initially that of
the entry host.  Another zone is compared when the local targets are nearly full,
and only over links with free capacity.  A range that begins earlier is used in
part, so ranges may overlap.  One search stays in one model version.  It
backtracks from dead ends, within `MAX_STEPS`.
"""

import math
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from operator import attrgetter

from radishfield.core import LayerRange, Link, Route, Stage
from radishfield.decisions._limits import TargetLoad

MAX_STEPS = 64
"""Targets tried in one search; a model has about 4 to 16 stages."""

SAMPLE = 12
"""Targets compared at one boundary.  The best of a dozen is within a few
percent of the best of all, at a cost that does not grow with the fleet."""

SPILL_USE = 0.85
"""Use of the local share from which other zones are compared as well.  Below
it, a hop over a link costs more than a fuller batch."""

CROSSING_PENALTY = 0.15
"""Use added to another zone's target as the cost of the hop."""


BY_SCORE = attrgetter("score")
BY_STAGE_TIME = attrgetter("stage_s")


@dataclass(slots=True)
class Crossing:
    """A directed link between zones with its work in flight.

    It has no answers of its own to learn from, so its limit is the rate of the
    link times the time a token needs.
    """

    limit: float
    own: int = 0

    def has_room(self) -> bool:
        """Tell whether one more request may use the link."""
        return self.own < self.limit


@dataclass(slots=True, frozen=True)
class _Criteria:
    """Criteria of one search.

    Attributes
    ----------
    any_zone : bool
        Whether other zones are tried although the local one is not full.  Set
        for the second search, after the first met a dead end.
    """

    long: bool
    excluded: frozenset[str]
    preferred: frozenset[str]
    forced: bool
    fast: bool
    any_zone: bool

    @property
    def order(self) -> Callable[[TargetLoad], float]:
        """Return the sort key for targets; the lowest is tried first."""
        return BY_STAGE_TIME if self.fast else BY_SCORE

    def fits(self, load: TargetLoad) -> bool:
        """Tell whether a target may be taken."""
        if load.target.id in self.excluded:
            return False
        if self.forced:
            return load.usable and not load.ejected
        return load.has_room(self.long)


class Chooser:
    """Chooses chains for one model version."""

    __slots__ = (
        "model",
        "model_version",
        "model_layers",
        "bound_tps",
        "_zone",
        "_loads_by_zone_layer",
        "_crossings_by_pair",
        "_vertex_cuts",
        "_zones",
        "_stayed_local",
        "_rotation",
    )

    def __init__(
        self,
        loads: Sequence[TargetLoad],
        links: Sequence[Link],
        zone: str,
        bound_tps: float,
        crossings_by_pair: dict[tuple[str, str], Crossing],
    ):
        first = loads[0].target
        self.model = first.model
        self.model_version = first.model_version
        self.model_layers = first.model_layers
        self.bound_tps = bound_tps
        self._zone = zone
        self._rotation = 0
        self._stayed_local = False
        self._loads_by_zone_layer = _index_by_boundary(loads)
        self._crossings_by_pair = crossings_by_pair
        self._zones = _nearest_zones(loads, links, zone)
        self._vertex_cuts = _vertex_cuts(loads)

    def choose(
        self,
        long: bool,
        excluded: frozenset[str] = frozenset(),
        preferred: frozenset[str] = frozenset(),
        forced: bool = False,
        fast: bool = False,
    ) -> list[TargetLoad] | None:
        """Return a chain whose every target and link has free capacity, or None.

        Parameters
        ----------
        preferred : frozenset of str
            Targets to take where possible, because they hold a cache.
        forced : bool
            Whether to ignore limits, since interrupted work must not lose its turn.
        fast : bool
            Whether to take the quickest targets with free capacity, not the least
            loaded.
        """
        self._rotation += 1
        self._stayed_local = False
        if not forced and self._is_full():
            return None
        criteria = _Criteria(long, excluded, preferred, forced, fast, False)
        chain = self._search(criteria)
        if chain is None and self._stayed_local:
            chain = self._search(replace(criteria, any_zone=True))
        return chain

    def _search(self, criteria: _Criteria) -> list[TargetLoad] | None:
        """Return the first complete chain, backtracking from dead ends."""
        steps_left = MAX_STEPS
        chain: list[TargetLoad] = []
        # The rest of a chain does not depend on how its boundary was reached, so a
        # dead end is not tried again.  Else every search is costly in a full fleet.
        seen: set[tuple[str, int]] = set()
        options = [self._options(self._zone, 0, criteria)]
        while options and steps_left > 0:
            if not options[-1]:
                options.pop()
                if chain:
                    chain.pop()
                continue
            steps_left -= 1
            load = options[-1].pop()
            end = load.target.layers.end
            if end == self.model_layers:
                return [*chain, load]
            boundary = load.target.zone, end
            if boundary in seen:
                continue
            seen.add(boundary)
            chain.append(load)
            options.append(self._options(load.target.zone, end, criteria))
        return None

    def _is_full(self) -> bool:
        """Tell cheaply whether some layer is full, so that no chain can be found.

        Without this check, every second search fails under overload, after trying
        each candidate path to the layer that is full.
        """
        for loads in self._vertex_cuts:
            for load in loads:
                if load.own < load.room:
                    break
            else:
                return True
        return False

    def covered(self, excluded: frozenset[str] = frozenset()) -> bool:
        """Tell whether live targets cover the model, full or not.

        Zones without a link between them cannot cover the model together.
        Counting a chain that no search can build would refuse every request.
        """
        todo = [(zone, 0) for zone in self._zones]
        reached = set(todo)
        while todo:
            zone, layer = todo.pop()
            for load in self._next_loads(zone, layer):
                boundary = load.target.zone, load.target.layers.end
                if not load.usable or load.target.id in excluded:
                    continue
                if boundary[1] == self.model_layers:
                    return True
                if boundary not in reached:
                    reached.add(boundary)
                    todo.append(boundary)
        return False

    def _next_loads(self, zone: str, layer: int) -> list[TargetLoad]:
        """Return targets that hold a layer in a zone, or in one linked from it."""
        reachable_zones = [
            name
            for name in self._zones
            if name == zone or (layer > 0 and (zone, name) in self._crossings_by_pair)
        ]
        return [
            load
            for name in reachable_zones
            for load in self._loads_by_zone_layer.get((name, layer), ())
        ]

    def quickest_s(self) -> float:
        """Return the least expected seconds of a token over any complete chain."""
        best_s = {0: 0.0}
        for layer in sorted({layer for _, layer in self._loads_by_zone_layer}):
            if layer not in best_s:
                continue
            for zone in self._zones:
                for load in self._loads_by_zone_layer.get((zone, layer), ()):
                    end = load.target.layers.end
                    time_s = best_s[layer] + load.stage_s
                    if load.usable and time_s < best_s.get(end, math.inf):
                        best_s[end] = time_s
        return best_s.get(self.model_layers, math.inf)

    def crossings_of(self, chain: Sequence[TargetLoad]) -> list[Crossing]:
        """Return the links between zones that a chain uses."""
        zones = [load.target.zone for load in chain]
        pairs = zip(zones, zones[1:], strict=False)
        found = (self._crossings_by_pair.get(pair) for pair in pairs)
        return [crossing for crossing in found if crossing is not None]

    def _options(self, zone: str, layer: int, criteria: _Criteria) -> list[TargetLoad]:
        """Return targets to try, the best one last."""
        local = self._candidates(zone, layer, criteria)
        if criteria.preferred:
            kept = self._preferred(layer, criteria)
            if kept:
                local.sort(key=criteria.order, reverse=True)
                return local + kept
        best_use = min((load.use for load in local), default=1.0)
        if best_use < SPILL_USE and not criteria.any_zone:
            self._stayed_local = True
            local.sort(key=criteria.order, reverse=True)
            return local
        others = []
        for name in self._zones:
            if name != zone and self._may_cross(zone, name, layer):
                others += self._candidates(name, layer, criteria)
                if len(others) >= SAMPLE:
                    break
        before_local = [
            load for load in others if load.use + CROSSING_PENALTY < best_use
        ]
        after_local = [
            load for load in others if load.use + CROSSING_PENALTY >= best_use
        ]
        for loads in (after_local, local, before_local):
            loads.sort(key=criteria.order, reverse=True)
        return after_local + local + before_local

    def _preferred(self, layer: int, criteria: _Criteria) -> list[TargetLoad]:
        """Return preferred targets of any zone, as they hold the request's cache."""
        return [
            load
            for zone in self._zones
            for load in self._loads_by_zone_layer.get((zone, layer), ())
            if load.target.id in criteria.preferred
            and load.target.id not in criteria.excluded
            and load.usable
            and not load.ejected
        ]

    def _candidates(
        self, zone: str, layer: int, criteria: _Criteria
    ) -> list[TargetLoad]:
        loads = self._loads_by_zone_layer.get((zone, layer))
        if not loads:
            return []
        # Equal targets take turns; else every idle entry host picks the same one.
        start = self._rotation * SAMPLE % len(loads) if len(loads) > SAMPLE else 0
        start = start or self._rotation % len(loads)
        rotated = loads[start:] + loads[:start]
        found = _filter_free(rotated[:SAMPLE], criteria)
        return found or _filter_free(rotated[SAMPLE:], criteria)

    def _may_cross(self, from_zone: str, to_zone: str, layer: int) -> bool:
        """Tell whether a link has free capacity; a chain may start in any zone."""
        if layer == 0:
            return True
        crossing = self._crossings_by_pair.get((from_zone, to_zone))
        return crossing is not None and crossing.has_room()

    def route(self, chain: Sequence[TargetLoad]) -> Route:
        """Return a chain as the route that is sent to its stages."""
        stages = []
        next_layer = 0
        for load in chain:
            end = load.target.layers.end
            layers = LayerRange(next_layer, end)
            stages.append(Stage(load.target.id, load.target.address, layers))
            next_layer = end
        return Route(tuple(stages), self.model, self.model_version, self.model_layers)


def _filter_free(loads: list[TargetLoad], criteria: _Criteria) -> list[TargetLoad]:
    if criteria.excluded or criteria.forced or criteria.long:
        return [load for load in loads if criteria.fits(load)]
    return [load for load in loads if load.own < load.room]


def _index_by_boundary(
    loads: Sequence[TargetLoad],
) -> dict[tuple[str, int], list[TargetLoad]]:
    boundaries = {0} | {load.target.layers.end for load in loads}
    held = defaultdict(list)
    for load in loads:
        for layer in boundaries:
            if load.target.layers.first <= layer < load.target.layers.end:
                held[load.target.zone, layer].append(load)
    return dict(held)


def _vertex_cuts(loads: Sequence[TargetLoad]) -> list[list[TargetLoad]]:
    """Return, for each boundary that no range spans, the targets that start there."""
    ranges = [load.target.layers for load in loads]
    boundaries = sorted({0} | {layers.end for layers in ranges})
    return [
        [load for load in loads if load.target.layers.first == layer]
        for layer in boundaries[:-1]
        if not any(layers.first < layer < layers.end for layers in ranges)
    ]


def _nearest_zones(
    loads: Sequence[TargetLoad], links: Sequence[Link], zone: str
) -> list[str]:
    rate = {link.to_zone: link.tokens_per_s for link in links if link.from_zone == zone}
    names = {load.target.zone for load in loads}
    return sorted(names, key=lambda name: (-rate.get(name, 0.0), name))
