"""Simple policies with the scheduler's interface, as baselines for comparison.

Each starts work as it arrives, on a chain of targets in any zones that it picks
stage by stage, and restarts it on other targets after a failure.
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
    """Base class of the baselines; subclasses implement `pick`."""

    __slots__ = (
        "rng",
        "in_flight_by_id",
        "turn_by_layer",
        "_targets_by_first_layer",
        "_waiting",
        "_running_by_request",
        "_dead",
    )

    def __init__(self, seed: str):
        self.rng = random.Random(seed)
        self.in_flight_by_id: dict[str, int] = defaultdict(int)
        self.turn_by_layer: dict[int, int] = defaultdict(int)
        self._targets_by_first_layer: dict[int, list[Target]] = {}
        self._waiting: deque[Work] = deque()
        self._running_by_request: dict[str, Dispatch] = {}
        self._dead: set[str] = set()

    def pick(self, candidates: Sequence[Target]) -> Target:
        """Return one of the targets whose layers start with the next layer."""
        raise LookupError("a baseline must override pick()")

    def set_fleet(
        self,
        targets: Sequence[Target],
        links: Sequence[Link],
        zone: str,
        entry_hosts: int,
        now: float,
    ) -> None:
        """Replace the known targets."""
        self._targets_by_first_layer = defaultdict(list)
        for target in targets:
            self._targets_by_first_layer[target.layers.first].append(target)

    def observe_load(self, report: LoadReport, now: float) -> None:
        """Do nothing: baselines ignore load reports."""

    def offer(self, work: Work, now: float) -> Queued | Refused:
        """Admit every request."""
        self._waiting.append(work)
        return Queued(work.request_id)

    def take(self, now: float) -> list[Dispatch | Expired]:
        """Start every waiting request."""
        taken: list[Dispatch | Expired] = []
        while self._waiting:
            work = self._waiting.popleft()
            taken.append(self._start(Dispatch(work, 1, self._route(work))))
        return taken

    def next_wakeup(self, now: float) -> float | None:
        """Return None, because every request starts immediately."""
        return None

    def progressed(self, request_id: str, position: int, now: float) -> None:
        """Do nothing: baselines ignore progress."""

    def ended(self, request_id: str, finished: bool, now: float) -> None:
        """Remove the request from the in-flight counts."""
        dispatch = self._running_by_request.pop(request_id, None)
        if dispatch is not None:
            self._add_in_flight(dispatch, -1)

    def failed(self, failure: Failure, now: float) -> Retry | GiveUp:
        """Retry on other targets immediately, with at most four attempts in total."""
        self._dead.add(failure.target_id)
        previous = self._running_by_request[failure.request_id]
        self._add_in_flight(previous, -1)
        if previous.attempt >= 4:
            self._running_by_request.pop(failure.request_id)
            return GiveUp(fault(ResultCode.RETRIES_EXHAUSTED))
        route = self._route(previous.work)
        return Retry(self._start(Dispatch(previous.work, previous.attempt + 1, route)))

    def _start(self, dispatch: Dispatch) -> Dispatch:
        self._running_by_request[dispatch.work.request_id] = dispatch
        self._add_in_flight(dispatch, 1)
        return dispatch

    def _add_in_flight(self, dispatch: Dispatch, change: int) -> None:
        for stage in dispatch.route.stages:
            self.in_flight_by_id[stage.target_id] += change

    def _route(self, work: Work) -> Route:
        stages = []
        layer = 0
        model_layers = self._targets_by_first_layer[0][0].model_layers
        while layer < model_layers:
            candidates = [
                t for t in self._targets_by_first_layer[layer] if t.id not in self._dead
            ]
            target = self.pick(candidates)
            end = target.layers.end
            stages.append(Stage(target.id, target.address, LayerRange(layer, end)))
            layer = end
        return Route(tuple(stages), work.model, "1", model_layers)


class RoundRobin(Baseline):
    """Picks each target in turn."""

    __slots__ = ()

    def pick(self, candidates: Sequence[Target]) -> Target:
        """Return the next in turn."""
        layer = candidates[0].layers.first
        self.turn_by_layer[layer] += 1
        return candidates[self.turn_by_layer[layer] % len(candidates)]


class LeastInFlight(Baseline):
    """Picks the target with the fewest requests in flight from this host."""

    __slots__ = ()

    def pick(self, candidates: Sequence[Target]) -> Target:
        """Return the least loaded target; ties are broken at random."""
        return min(
            candidates, key=lambda t: (self.in_flight_by_id[t.id], self.rng.random())
        )


class RandomOfTwo(Baseline):
    """Picks the less loaded of two random targets."""

    __slots__ = ()

    def pick(self, candidates: Sequence[Target]) -> Target:
        """Return the less loaded of two random candidates."""
        sampled = self.rng.sample(list(candidates), min(2, len(candidates)))
        return min(sampled, key=lambda t: self.in_flight_by_id[t.id])


class LeastInFlightInZone(LeastInFlight):
    """Least in flight within the entry host's zone if that zone covers the model."""

    __slots__ = ()

    def set_fleet(
        self,
        targets: Sequence[Target],
        links: Sequence[Link],
        zone: str,
        entry_hosts: int,
        now: float,
    ) -> None:
        """Replace the targets by the zone's own if they cover the model."""
        local = [target for target in targets if target.zone == zone]
        held_layers = sum(
            {t.layers: t.layers.end - t.layers.first for t in local}.values()
        )
        covers_model = bool(local) and held_layers >= local[0].model_layers
        super().set_fleet(
            local if covers_model else targets, links, zone, entry_hosts, now
        )
