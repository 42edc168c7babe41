"""Fakes of targets and links that model only batches, steps and queues."""

import heapq
from collections.abc import Callable

from bench._events import Events
from radishfield.core import Link, LoadReport, Route, Target

BASE_STEP_SHARE = 0.5
"""Share of a full batch's step time that does not depend on the batch's size."""

PREFILL_TOKEN_COST = 0.1
"""Cost of a prompt token relative to a generated token."""


class Stream:
    """One attempt that passes through the stages of a route once per token."""

    __slots__ = (
        "request_id",
        "attempt",
        "stages",
        "layer_shares",
        "links",
        "stage",
        "work",
        "position",
        "last",
        "alive",
        "on_token",
        "priority",
    )

    def __init__(
        self,
        request_id: str,
        attempt: int,
        position: int,
        last: int,
        prefill: float,
        on_token: Callable,
        priority: int,
    ):
        self.request_id = request_id
        self.attempt = attempt
        self.stages: list[FakeTarget] = []
        self.layer_shares: list[float] = []
        self.links: list[FakeLink] = []
        self.stage = 0
        self.work = 1.0 + prefill
        self.position = position
        self.last = last
        self.alive = True
        self.on_token = on_token
        self.priority = priority


class FakeLink:
    """A link that transfers the states of tokens one after another."""

    __slots__ = ("latency_s", "seconds_per_token", "_free_at")

    def __init__(self, link: Link):
        self.latency_s = link.latency_s
        self.seconds_per_token = 1.0 / link.tokens_per_s
        self._free_at = 0.0

    def arrival(self, now: float) -> float:
        """Return the arrival time of a token's state that is sent now."""
        self._free_at = max(now, self._free_at) + self.seconds_per_token
        return self._free_at + self.latency_s


class FakeTarget:
    """An engine that processes waiting tokens in batches, by priority."""

    __slots__ = (
        "target",
        "alive",
        "started_at",
        "streams",
        "_events",
        "_waiting",
        "_sequence",
        "_busy",
        "_base_s",
        "_token_s",
    )

    def __init__(self, target: Target, events: Events):
        self.target = target
        self.alive = True
        self.started_at: list[float] = []
        self.streams = 0
        self._events = events
        self._waiting: list[tuple[int, int, Stream]] = []
        self._sequence = 0
        self._busy = False
        full_s = target.slots / target.speed_tps
        self._base_s = full_s * BASE_STEP_SHARE
        self._token_s = full_s * (1 - BASE_STEP_SHARE) / target.slots

    def arrive(self, stream: Stream) -> None:
        """Queue a token's state for the next batch."""
        if not self.alive or not stream.alive:
            return
        self._sequence += 1
        heapq.heappush(self._waiting, (stream.priority, self._sequence, stream))
        if not self._busy:
            self._start()

    def slow_down(self, factor: float) -> None:
        """Make every following step take longer by a factor."""
        self._base_s *= factor
        self._token_s *= factor

    def report(self) -> LoadReport:
        """Return the target's load report; its step time is the declared one."""
        target = self.target
        return LoadReport(
            target.id,
            target.incarnation,
            target.layers,
            target.model,
            target.model_version,
            self.streams,
            len(self._waiting),
            target.slots,
            target.slots / target.speed_tps,
        )

    def _start(self) -> None:
        batch = []
        work = 0.0
        while self._waiting and len(batch) < self.target.slots:
            _, _, stream = heapq.heappop(self._waiting)
            if stream.alive:
                batch.append(stream)
                work += stream.work * stream.layer_shares[stream.stage]
        if not batch:
            return
        self._busy = True
        step_s = self._base_s + self._token_s * work
        self._events.at(self._events.now + step_s, self._end, batch)

    def _end(self, batch: list[Stream]) -> None:
        self._busy = False
        if not self.alive:
            return
        for stream in batch:
            if stream.alive:
                _advance(stream, self._events)
        if self._waiting:
            self._start()


def _advance(stream: Stream, events: Events) -> None:
    link = stream.links[stream.stage]
    stream.stage += 1
    if stream.stage == len(stream.stages):
        stream.stage = 0
        stream.work = 1.0
        stream.position += 1
        stream.on_token(stream)
        if not stream.alive:
            return
    following = stream.stages[stream.stage]
    events.at(link.arrival(events.now), following.arrive, stream)


class FakeFleet:
    """All targets and links of one run."""

    __slots__ = ("events", "targets_by_id", "_links_by_pair")

    def __init__(self, targets: list[Target], links: list[Link], events: Events):
        self.events = events
        self.targets_by_id = {t.id: FakeTarget(t, events) for t in targets}
        self._links_by_pair = {
            (link.from_zone, link.to_zone): FakeLink(link) for link in links
        }

    def start(self, stream: Stream, route: Route) -> None:
        """Send an attempt to the first stage of its route."""
        for stage in route.stages:
            fake = self.targets_by_id[stage.target_id]
            held_layers = fake.target.layers.end - fake.target.layers.first
            stream.stages.append(fake)
            stream.layer_shares.append(
                (stage.layers.end - stage.layers.first) / held_layers
            )
            fake.streams += 1
            fake.started_at.append(self.events.now)
        zones = [fake.target.zone for fake in stream.stages]
        for here, there in zip(zones, zones[1:], strict=False):
            stream.links.append(self._links_by_pair[here, there])
        # The last stage returns the token, not a state: any link carries it at once.
        stream.links.append(self._links_by_pair[zones[0], zones[0]])
        first = stream.stages[0]
        self.events.at(self.events.now + 0.0005, first.arrive, stream)

    def stop(self, stream: Stream) -> None:
        """Stop an attempt at whatever stage it is."""
        if stream.alive:
            stream.alive = False
            for fake in stream.stages:
                fake.streams -= 1
