"""Simulates, in virtual time, entry hosts that use a policy as the dispatcher does."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from bench._events import Events
from bench._fakes import PREFILL_TOKEN_COST, FakeFleet, Stream
from bench._load import LoadRequest
from radishfield.core import Fault, Link, Target
from radishfield.decisions import (
    Dispatch,
    Expired,
    Failure,
    FailureKind,
    GiveUp,
    Refused,
    Retry,
)

DETECTION_S = 0.5
"""Seconds until the entry host detects that a stage of a stream crashed."""

RECONNECT_S = 0.5
"""Seconds until a caller of a crashed entry host retries at another one."""

REPORT_EVERY_S = 1.0
REPORT_LAG_S = 1.0


@dataclass(slots=True)
class Record:
    """The outcome of one request."""

    request: LoadRequest
    outcome: str = "open"
    ended_at: float = 0.0
    tokens: int = 0
    attempts: int = 0
    started_at: float = 0.0
    refusals: int = 0

    @property
    def on_time(self) -> bool:
        """Return whether the complete answer came by the deadline."""
        return (
            self.outcome == "finished" and self.ended_at <= self.request.work.deadline
        )

    @property
    def seconds(self) -> float:
        """Return the time from arrival to the end."""
        return self.ended_at - self.request.work.arrived


class EntryHost:
    """An entry host with its policy and its requests in flight."""

    __slots__ = (
        "policy",
        "zone",
        "alive",
        "streams_by_request",
        "_world",
        "_wakeup_at",
    )

    def __init__(self, policy, zone: str, world: "World"):
        self.policy = policy
        self.zone = zone
        self.alive = True
        self.streams_by_request: dict[str, Stream] = {}
        self._world = world
        self._wakeup_at: float | None = None

    def arrive(self, request: LoadRequest) -> None:
        """Offer a request to the policy."""
        now = self._world.events.now
        decision = self.policy.offer(request.work, now)
        if isinstance(decision, Refused):
            self._world.handle_refusal(request, decision.fault)
            return
        self._world.events.at(
            request.work.deadline, self._deadline, request.work.request_id
        )
        self.pump()

    def pump(self) -> None:
        """Start and end requests as the policy decides; schedule the next wakeup."""
        if not self.alive:
            return
        now = self._world.events.now
        for item in self.policy.take(now):
            match item:
                case Dispatch():
                    self._start(item, 0)
                case Expired(work=work, fault=problem):
                    self._world.end(work.request_id, problem.code.name, 0)
        wakeup = self.policy.next_wakeup(now)
        if wakeup is None:
            return
        wakeup = max(wakeup, now + 0.001)
        if self._wakeup_at is None or wakeup < self._wakeup_at:
            self._wakeup_at = wakeup
            self._world.events.at(wakeup, self._wake, wakeup)

    def handle_crash(self, stream: Stream, target_id: str) -> None:
        """Handle the crash of a stream's stage: retry or end the request."""
        if not stream.alive or not self.alive:
            return
        self._world.fleet.stop(stream)
        now = self._world.events.now
        failure = Failure(
            stream.request_id, target_id, FailureKind.BROKEN, True, stream.position
        )
        match self.policy.failed(failure, now):
            case Retry(dispatch=dispatch, after_s=after_s):
                self._world.events.at(
                    now + after_s, self._start, dispatch, stream.position
                )
            case GiveUp(fault=problem):
                self.policy.ended(stream.request_id, False, now)
                self._world.end(stream.request_id, problem.code.name, stream.position)
                del self.streams_by_request[stream.request_id]
        self.pump()

    def _wake(self, due: float) -> None:
        if self._wakeup_at == due:
            self._wakeup_at = None
            self.pump()

    def _start(self, dispatch: Dispatch, committed: int) -> None:
        record = self._world.records_by_request[dispatch.work.request_id]
        if record.outcome != "open" or not self.alive:
            return
        if not record.attempts:
            record.started_at = self._world.events.now
        record.attempts += 1
        prefill = (dispatch.work.prompt_tokens + committed) * PREFILL_TOKEN_COST
        stream = Stream(
            dispatch.work.request_id,
            dispatch.attempt,
            committed,
            record.request.tokens,
            prefill,
            self._token,
            dispatch.engine_priority,
        )
        self.streams_by_request[stream.request_id] = stream
        self._world.fleet.start(stream, dispatch.route)
        dead = [fake for fake in stream.stages if not fake.alive]
        if dead:
            self._world.events.at(
                self._world.events.now + DETECTION_S,
                self.handle_crash,
                stream,
                dead[0].target.id,
            )

    def _token(self, stream: Stream) -> None:
        now = self._world.events.now
        if not self.alive:
            return
        self.policy.progressed(stream.request_id, stream.position - 1, now)
        self._world.count_token(stream)
        if stream.position >= stream.last:
            self._end(stream, "finished", True)

    def _deadline(self, request_id: str) -> None:
        stream = self.streams_by_request.get(request_id)
        if stream is not None and self.alive:
            self._end(stream, "late", False)

    def _end(self, stream: Stream, outcome: str, finished: bool) -> None:
        self._world.fleet.stop(stream)
        self.policy.ended(stream.request_id, finished, self._world.events.now)
        self._world.end(stream.request_id, outcome, stream.position)
        del self.streams_by_request[stream.request_id]
        self.pump()


class World:
    """One simulation: a fleet, entry hosts behind a load balancer, and records."""

    __slots__ = (
        "events",
        "fleet",
        "hosts",
        "records_by_request",
        "tokens_by_slice",
        "max_caller_retries",
        "on_token",
        "targets",
        "links",
        "_balancer_rng",
    )

    def __init__(
        self,
        targets: Sequence[Target],
        links: Sequence[Link],
        zones: Sequence[str],
        make_policy: Callable,
        seed: int,
    ):
        self.events = Events()
        self.targets, self.links = list(targets), list(links)
        self.fleet = FakeFleet(self.targets, self.links, self.events)
        self.hosts = [
            EntryHost(make_policy(f"{seed}-{i}"), z, self) for i, z in enumerate(zones)
        ]
        self.records_by_request: dict[str, Record] = {}
        self.tokens_by_slice: dict[int, int] = {}
        self.max_caller_retries = 0
        self.on_token: Callable | None = None
        self._balancer_rng = random.Random(seed)
        self.publish_fleet()
        self.events.at(REPORT_EVERY_S, self._report)

    def publish_fleet(self) -> None:
        """Pass the current targets to the policy of every live entry host."""
        live = [host for host in self.hosts if host.alive]
        for host in live:
            host.policy.set_fleet(
                self.targets, self.links, host.zone, len(live), self.events.now
            )
            host.pump()

    def run(self, requests: Sequence[LoadRequest], until: float) -> list[Record]:
        """Simulate the requests and return their records."""
        for request in requests:
            self.records_by_request[request.work.request_id] = Record(request)
            self.events.at(request.work.arrived, self._arrive, request)
        self.events.run(until)
        return list(self.records_by_request.values())

    def end(self, request_id: str, outcome: str, tokens: int) -> Record:
        """Record the outcome of a request."""
        record = self.records_by_request[request_id]
        record.outcome = outcome
        record.tokens = tokens
        record.ended_at = self.events.now
        return record

    def handle_refusal(self, request: LoadRequest, problem: Fault) -> None:
        """Let the caller retry when requested, up to `max_caller_retries` times."""
        record = self.end(request.work.request_id, problem.code.name, 0)
        record.refusals += 1
        if record.refusals > self.max_caller_retries or problem.retry_after_s is None:
            return
        now = self.events.now + problem.retry_after_s
        timeout_s = request.work.deadline - request.work.arrived
        work = replace(request.work, arrived=now, deadline=now + timeout_s)
        record.outcome, record.request = "open", replace(request, work=work)
        self.events.at(now, self._arrive, record.request)

    def count_token(self, stream: Stream) -> None:
        """Count a committed token in its quarter-second slice."""
        index = int(self.events.now * 4)
        self.tokens_by_slice[index] = self.tokens_by_slice.get(index, 0) + 1
        if self.on_token is not None:
            self.on_token(stream, self.events.now)

    def kill(self, target_ids: Sequence[str]) -> None:
        """Kill targets; entry hosts detect it on their streams after `DETECTION_S`."""
        dead = set(target_ids)
        for target_id in target_ids:
            self.fleet.targets_by_id[target_id].alive = False
        for host in self.hosts:
            for stream in host.streams_by_request.values():
                ids = [f.target.id for f in stream.stages if f.target.id in dead]
                if ids and stream.alive:
                    when = self.events.now + DETECTION_S
                    self.events.at(when, host.handle_crash, stream, ids[0])

    def kill_hosts(self, zone: str) -> None:
        """Kill a zone's entry hosts, which ends their requests."""
        for host in self.hosts:
            if host.zone == zone:
                host.alive = False
                for stream in list(host.streams_by_request.values()):
                    self.fleet.stop(stream)
                    self._retry_elsewhere(stream.request_id)

    def _retry_elsewhere(self, request_id: str) -> None:
        """Let a caller whose connection broke retry within its deadline."""
        record = self.records_by_request[request_id]
        retry_at = self.events.now + RECONNECT_S
        record.request = replace(
            record.request,
            work=replace(record.request.work, request_id=f"{request_id}-again"),
        )
        self.records_by_request[record.request.work.request_id] = record
        del self.records_by_request[request_id]
        self.events.at(retry_at, self._arrive, record.request)

    def _arrive(self, request: LoadRequest) -> None:
        live = [host for host in self.hosts if host.alive]
        self._balancer_rng.choice(live).arrive(request)

    def _report(self) -> None:
        for fake in self.fleet.targets_by_id.values():
            if fake.alive:
                self.events.at(
                    self.events.now + REPORT_LAG_S,
                    self._deliver,
                    replace(fake.report(), measured_s_ago=REPORT_LAG_S),
                )
        self.events.at(self.events.now + REPORT_EVERY_S, self._report)

    def _deliver(self, report) -> None:
        for host in self.hosts:
            if host.alive:
                host.policy.observe_load(report, self.events.now)
