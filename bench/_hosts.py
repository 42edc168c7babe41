"""Entry hosts that drive a policy as the dispatcher does, in virtual time."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from bench._events import Events
from bench._fakes import PREFILL_PART, FakeFleet, Stream
from bench._load import Ask
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
"""Seconds until the entry host learns that a stage of a stream died."""

RECONNECT_S = 0.5
"""Seconds after which a caller of a lost entry host asks another one."""

REPORT_EVERY_S = 1.0
REPORT_LAG_S = 1.0


@dataclass(slots=True)
class Record:
    """What became of one request."""

    ask: Ask
    outcome: str = "open"
    ended_at: float = 0.0
    tokens: int = 0
    attempts: int = 0
    started_at: float = 0.0
    refusals: int = 0

    @property
    def on_time(self) -> bool:
        """Tell whether the whole answer came before the deadline."""
        return self.outcome == "finished" and self.ended_at <= self.ask.work.deadline

    @property
    def seconds(self) -> float:
        """Return the time from arrival to the end."""
        return self.ended_at - self.ask.work.arrived


class EntryHost:
    """One entry host: its policy, and its requests in flight."""

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

    def arrive(self, ask: Ask) -> None:
        """Offer a request."""
        now = self._world.events.now
        decision = self.policy.offer(ask.work, now)
        if isinstance(decision, Refused):
            self._world.refused(ask, decision.fault)
            return
        self._world.events.at(ask.work.deadline, self._deadline, ask.work.request_id)
        self.pump()

    def pump(self) -> None:
        """Start and end what the policy says, and ask to be woken again."""
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

    def broken(self, stream: Stream, target_id: str) -> None:
        """Learn that a stage of a stream died."""
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

    def _wake(self, asked: float) -> None:
        if self._wakeup_at == asked:
            self._wakeup_at = None
            self.pump()

    def _start(self, dispatch: Dispatch, committed: int) -> None:
        record = self._world.records_by_request[dispatch.work.request_id]
        if record.outcome != "open" or not self.alive:
            return
        if not record.attempts:
            record.started_at = self._world.events.now
        record.attempts += 1
        prefill = (dispatch.work.prompt_tokens + committed) * PREFILL_PART
        stream = Stream(
            dispatch.work.request_id,
            dispatch.attempt,
            committed,
            record.ask.tokens,
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
                self.broken,
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
    """One run: a fleet, entry hosts behind a balancer, and the records."""

    __slots__ = (
        "events",
        "fleet",
        "hosts",
        "records_by_request",
        "tokens_by_slice",
        "asks_again",
        "on_token",
        "targets",
        "links",
        "_balancer",
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
        self.asks_again = 0
        self.on_token: Callable | None = None
        self._balancer = random.Random(seed)
        self.tell_fleet()
        self.events.at(REPORT_EVERY_S, self._report)

    def tell_fleet(self) -> None:
        """Tell every live entry host the present targets."""
        live = [host for host in self.hosts if host.alive]
        for host in live:
            host.policy.set_fleet(
                self.targets, self.links, host.zone, len(live), self.events.now
            )
            host.pump()

    def play(self, asks: Sequence[Ask], until: float) -> list[Record]:
        """Play the requests and return what became of them."""
        for ask in asks:
            self.records_by_request[ask.work.request_id] = Record(ask)
            self.events.at(ask.work.arrived, self._arrive, ask)
        self.events.run(until)
        return list(self.records_by_request.values())

    def end(self, request_id: str, outcome: str, tokens: int) -> Record:
        """Write down how a request ended."""
        record = self.records_by_request[request_id]
        record.outcome = outcome
        record.tokens = tokens
        record.ended_at = self.events.now
        return record

    def refused(self, ask: Ask, problem: Fault) -> None:
        """Let the caller ask again when told to, as often as callers do here."""
        record = self.end(ask.work.request_id, problem.code.name, 0)
        record.refusals += 1
        if record.refusals > self.asks_again or problem.retry_after_s is None:
            return
        now = self.events.now + problem.retry_after_s
        patience_s = ask.work.deadline - ask.work.arrived
        work = replace(ask.work, arrived=now, deadline=now + patience_s)
        record.outcome, record.ask = "open", replace(ask, work=work)
        self.events.at(now, self._arrive, record.ask)

    def count_token(self, stream: Stream) -> None:
        """Count a committed token in its quarter of a second."""
        index = int(self.events.now * 4)
        self.tokens_by_slice[index] = self.tokens_by_slice.get(index, 0) + 1
        if self.on_token is not None:
            self.on_token(stream, self.events.now)

    def kill(self, target_ids: Sequence[str]) -> None:
        """End targets; the streams through them learn of it a little later."""
        dead = set(target_ids)
        for target_id in target_ids:
            self.fleet.targets_by_id[target_id].alive = False
        for host in self.hosts:
            for stream in host.streams_by_request.values():
                ids = [f.target.id for f in stream.stages if f.target.id in dead]
                if ids and stream.alive:
                    when = self.events.now + DETECTION_S
                    self.events.at(when, host.broken, stream, ids[0])

    def kill_hosts(self, zone: str) -> None:
        """End a zone's entry hosts and with them their requests."""
        for host in self.hosts:
            if host.zone == zone:
                host.alive = False
                for stream in list(host.streams_by_request.values()):
                    self.fleet.stop(stream)
                    self._ask_elsewhere(stream.request_id)

    def _ask_elsewhere(self, request_id: str) -> None:
        """Let a caller whose connection broke ask again, within its deadline."""
        record = self.records_by_request[request_id]
        again = self.events.now + RECONNECT_S
        record.ask = replace(
            record.ask, work=replace(record.ask.work, request_id=f"{request_id}-again")
        )
        self.records_by_request[record.ask.work.request_id] = record
        del self.records_by_request[request_id]
        self.events.at(again, self._arrive, record.ask)

    def _arrive(self, ask: Ask) -> None:
        live = [host for host in self.hosts if host.alive]
        self._balancer.choice(live).arrive(ask)

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
