"""Simple policies behind the scheduler's face, to compare with.

Each starts work as it arrives, on a chain of targets of one zone or another
that it picks stage by stage, and starts it again elsewhere after a failure.
"""

import random
from collections import defaultdict, deque
from collections.abc import Sequence

from radishfield.core import (
    LayerRange,
    Link,
    LoadReport,
    ResultCode,
    Route,
    Stage,
    Target,
    fault,
)
from radishfield.decisions import (
    Dispatch,
    Expired,
    Failure,
    GiveUp,
    Queued,
    Refused,
    Retry,
    Work,
)


class Baseline:
    """What the baselines share; `pick` is theirs."""

    __slots__ = (
        "chance",
        "in_flight_by_id",
        "turn_by_layer",
        "_heads_by_layer",
        "_waiting",
        "_running_by_request",
        "_dead",
    )

    def __init__(self, seed: str):
        self.chance = random.Random(seed)
        self.in_flight_by_id: dict[str, int] = defaultdict(int)
        self.turn_by_layer: dict[int, int] = defaultdict(int)
        self._heads_by_layer: dict[int, list[Target]] = {}
        self._waiting: deque[Work] = deque()
        self._running_by_request: dict[str, Dispatch] = {}
        self._dead: set[str] = set()

    def pick(self, heads: Sequence[Target]) -> Target:
        """Return one of the targets that hold the next layer."""
        raise LookupError("a baseline picks")

    def set_fleet(
        self,
        targets: Sequence[Target],
        links: Sequence[Link],
        zone: str,
        entry_hosts: int,
        now: float,
    ) -> None:
        """Replace the targets."""
        self._heads_by_layer = defaultdict(list)
        for target in targets:
            self._heads_by_layer[target.layers.first].append(target)

    def observe_load(self, report: LoadReport, now: float) -> None:
        """Take no notice."""

    def offer(self, work: Work, now: float) -> Queued | Refused:
        """Admit all."""
        self._waiting.append(work)
        return Queued(work.request_id)

    def take(self, now: float) -> list[Dispatch | Expired]:
        """Start all."""
        taken: list[Dispatch | Expired] = []
        while self._waiting:
            work = self._waiting.popleft()
            taken.append(self._start(Dispatch(work, 1, self._route(work))))
        return taken

    def next_wakeup(self, now: float) -> float | None:
        """Return nothing: all is started at once."""
        return None

    def progressed(self, request_id: str, position: int, now: float) -> None:
        """Take no notice."""

    def ended(self, request_id: str, finished: bool, now: float) -> None:
        """Count the request out."""
        dispatch = self._running_by_request.pop(request_id, None)
        if dispatch is not None:
            self._count(dispatch, -1)

    def failed(self, failure: Failure, now: float) -> Retry | GiveUp:
        """Try again elsewhere, at once."""
        self._dead.add(failure.target_id)
        old = self._running_by_request[failure.request_id]
        self._count(old, -1)
        if old.attempt >= 4:
            self._running_by_request.pop(failure.request_id)
            return GiveUp(fault(ResultCode.RETRIES_EXHAUSTED))
        route = self._route(old.work)
        return Retry(self._start(Dispatch(old.work, old.attempt + 1, route)))

    def _start(self, dispatch: Dispatch) -> Dispatch:
        self._running_by_request[dispatch.work.request_id] = dispatch
        self._count(dispatch, 1)
        return dispatch

    def _count(self, dispatch: Dispatch, change: int) -> None:
        for stage in dispatch.route.stages:
            self.in_flight_by_id[stage.target_id] += change

    def _route(self, work: Work) -> Route:
        stages = []
        layer = 0
        model_layers = self._heads_by_layer[0][0].model_layers
        while layer < model_layers:
            heads = [t for t in self._heads_by_layer[layer] if t.id not in self._dead]
            target = self.pick(heads)
            end = target.layers.end
            stages.append(Stage(target.id, target.address, LayerRange(layer, end)))
            layer = end
        return Route(tuple(stages), work.model, "1", model_layers)


class RoundRobin(Baseline):
    """Each target in turn."""

    __slots__ = ()

    def pick(self, heads: Sequence[Target]) -> Target:
        """Return the next in turn."""
        layer = heads[0].layers.first
        self.turn_by_layer[layer] += 1
        return heads[self.turn_by_layer[layer] % len(heads)]


class LeastInFlight(Baseline):
    """The target with the least of this host's own work."""

    __slots__ = ()

    def pick(self, heads: Sequence[Target]) -> Target:
        """Return the least loaded, any of several."""
        return min(
            heads, key=lambda t: (self.in_flight_by_id[t.id], self.chance.random())
        )


class RandomOfTwo(Baseline):
    """The less loaded of two that chance picks."""

    __slots__ = ()

    def pick(self, heads: Sequence[Target]) -> Target:
        """Return the less loaded of two."""
        two = self.chance.sample(list(heads), min(2, len(heads)))
        return min(two, key=lambda t: self.in_flight_by_id[t.id])


class LeastInFlightInZone(LeastInFlight):
    """The same, within the entry host's own zone wherever it covers the model."""

    __slots__ = ()

    def set_fleet(
        self,
        targets: Sequence[Target],
        links: Sequence[Link],
        zone: str,
        entry_hosts: int,
        now: float,
    ) -> None:
        """Replace the targets by those of the zone."""
        local = [target for target in targets if target.zone == zone]
        held = sum({t.layers: t.layers.end - t.layers.first for t in local}.values())
        whole = bool(local) and held >= local[0].model_layers
        super().set_fleet(local if whole else targets, links, zone, entry_hosts, now)
