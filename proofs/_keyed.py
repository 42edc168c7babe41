"""Runs several entry hosts that share targets and claim idempotency keys."""

from collections import defaultdict
from dataclasses import dataclass, field

import trio
from expression import Error, Result

from proofs._loop import Loop
from proofs._serving import END_BOUND_S, SERVICE_MODEL, Caller, service_targets
from proofs._targets import FakeTargets, service_body
from radishfield.core import (
    Fault,
    Member,
    Outcome,
    Profile,
    ResultCode,
    ServiceRequest,
    TargetKind,
    TrioClock,
    fault,
)
from radishfield.decisions import Scheduler
from radishfield.fleet import Claims, ClaimSettings
from radishfield.serving import Dispatcher
from standins.fakes import FakePlatform

ZONES = ("duluth-hall", "toledo-hall", "kingston-hall")
# A key may run again once its claim has expired, ten minutes after the claim was
# made.  The run itself may take up to its deadline out of these ten minutes.
KEY_RETENTION_S = 580.0
PEER_DELAY_S = 0.0005
PLATFORM_DELAY_S = 0.001


@dataclass(slots=True, frozen=True)
class HostIdentity:
    """An entry host's name and zone, which stay the same across restarts."""

    id: str
    zone: str


class PeerNet:
    """The network between hosts: partitions, lost answers and stopped hosts."""

    def __init__(self):
        self.by_id: dict[str, FakePeers] = {}
        self.partitioned_zones: set[str] = set()
        self.losing_answers_to: set[str] = set()

    def reaches(self, one: "FakePeers", other: "FakePeers") -> bool:
        """Return whether a message gets from one host to another."""
        if self.by_id.get(one.identity.id) is not one:
            return False
        return (one.identity.zone in self.partitioned_zones) == (
            other.identity.zone in self.partitioned_zones
        )


class FakePeers:
    """The `PeerPort` of one incarnation of a host."""

    def __init__(self, net: PeerNet, identity: HostIdentity, incarnation: int):
        self.net = net
        self.identity = identity
        self.incarnation = incarnation
        self.handlers_by_topic = {}
        net.by_id[identity.id] = self

    def members(self) -> list[Member]:
        """Return the running hosts."""
        return [
            Member(peers.identity.id, peers.identity.zone, "", peers.incarnation)
            for peers in self.net.by_id.values()
        ]

    def answer(self, topic, handler) -> None:
        """Register a topic's handler."""
        self.handlers_by_topic[topic] = handler

    async def ask(
        self, member_id: str, topic: str, payload: bytes, timeout_s: float
    ) -> Result[bytes, Fault]:
        """Query a member; the answer may be lost after the query was handled."""
        await trio.sleep(PEER_DELAY_S)
        other = self.net.by_id.get(member_id)
        if other is None or not self.net.reaches(self, other):
            return await self._unreachable(timeout_s)
        answer = await other.handlers_by_topic[topic](self.identity.id, payload)
        await trio.sleep(PEER_DELAY_S)
        is_lost = self.identity.id in self.net.losing_answers_to
        if is_lost or not self.net.reaches(self, other):
            return await self._unreachable(timeout_s)
        return answer

    async def _unreachable(self, timeout_s: float) -> Result[bytes, Fault]:
        await trio.sleep(timeout_s)
        return Error(fault(ResultCode.PEER_UNREACHABLE))


@dataclass(slots=True)
class KeyedHost:
    """One entry host and its current incarnation."""

    identity: HostIdentity
    incarnation: int = 0
    dispatcher: Dispatcher | None = None
    scopes: list[trio.CancelScope] = field(default_factory=list)

    def new_scope(self) -> trio.CancelScope:
        """Return a scope that ends with this incarnation."""
        self.scopes.append(trio.CancelScope())
        return self.scopes[-1]


class KeyedWorld:
    """Entry hosts in three zones, and callers that repeat keys at any of them."""

    def __init__(self, seed: int, host_count: int, replicas: int):
        self.loop = Loop(seed)
        self.net = PeerNet()
        self.listed = list(service_targets(replicas))
        self.targets = FakeTargets(self.listed)
        self.loop.start(self.targets.run)
        self.callers: list[Caller] = []
        self.hosts = [
            KeyedHost(HostIdentity(f"h{number}", ZONES[number % 3]))
            for number in range(host_count)
        ]
        self.platform = FakePlatform(TrioClock())
        self.platform.faults.delay_s = PLATFORM_DELAY_S
        for host in self.hosts:
            self.loop.run(lambda host=host: self._start(host))
        self.loop.settle()

    def send(self, host_index: int, key: str, deadline_s: float) -> None:
        """Let a caller send a call with a key, new or repeated, through a host."""
        host = self.hosts[host_index % len(self.hosts)]
        now = self.loop.now
        request = ServiceRequest(
            f"request-{len(self.callers)}",
            "workspace",
            Profile("notice", SERVICE_MODEL, TargetKind.SERVICE, idempotent=False),
            "POST",
            f"/notices/{key}",
            key.encode(),
            now,
            now + deadline_s,
            idempotency_key=key,
            body_digest=key,
        )
        caller = Caller(request)
        self.callers.append(caller)
        dispatcher, host_scope = host.dispatcher, host.new_scope()

        async def ask() -> None:
            with host_scope, caller.scope:
                caller.answer = await dispatcher.call_service(request)
            caller.cancelled = caller.answer is None
            caller.ended_at = trio.current_time()

        self.loop.start(ask)
        self.loop.settle()

    def cancel(self, caller: Caller) -> None:
        """Let a caller hang up."""
        caller.scope.cancel()
        self.loop.settle()

    def restart(self, host_index: int) -> None:
        """Kill a host and all its tasks, and start it again without any state."""
        host = self.hosts[host_index % len(self.hosts)]
        # Leave the network first: a killed process settles no claim.
        del self.net.by_id[host.identity.id]
        for scope in host.scopes:
            scope.cancel()
        host.scopes.clear()
        self.loop.settle()
        self.loop.run(lambda: self._start(host))

    def check(self) -> None:
        """Check that no key ran twice and that every answer matches what ran."""
        runs_by_key = defaultdict(list)
        key_by_request = {c.request.id: c.request.idempotency_key for c in self.callers}
        for call in self.targets.record.calls:
            runs_by_key[key_by_request[call.request_id]].append(call)
        for key, runs in runs_by_key.items():
            for first, second in zip(runs, runs[1:], strict=False):
                interval_s = second.at - first.at
                assert (
                    interval_s >= KEY_RETENTION_S
                ), f"{key} ran again after {interval_s} s"
        for caller in self.callers:
            self._check_answer(caller, runs_by_key[caller.request.idempotency_key])

    def check_end(self) -> None:
        """Check that all calls have ended once all faults are over."""
        self.heal()
        for target in self.targets.by_id.values():
            target.frozen = False
        self.loop.pass_time(10.0 + END_BOUND_S)
        self.check()
        assert all(caller.ended_at is not None for caller in self.callers)
        assert all(host.dispatcher.in_flight == 0 for host in self.hosts)

    def _check_answer(self, caller: Caller, runs: list) -> None:
        if caller.answer is None:
            late_s = self.loop.now - caller.request.deadline
            assert caller.cancelled or late_s <= END_BOUND_S, "no outcome in time"
            return
        match caller.answer:
            case Result(tag="ok", ok=answer):
                assert answer.body == service_body(
                    caller.request
                ), "not the caller's own answer"
                assert runs, "reported as finished, but nothing ran"
            case Result(tag="error", error=problem):
                if problem.outcome is Outcome.NOT_RUN:
                    earlier_runs = [run for run in runs if run.at <= caller.ended_at]
                    recent_runs = [
                        run
                        for run in earlier_runs
                        if caller.ended_at - run.at < KEY_RETENTION_S
                    ]
                    assert (
                        not recent_runs
                    ), f"reported as not run ({problem}), but the key ran"

    def cut(self, zones: set[str]) -> None:
        """Partition zones from the others and from the platform."""
        self.net.partitioned_zones = zones
        self.platform.faults.cut_off = {
            host.identity.id for host in self.hosts if host.identity.zone in zones
        }

    def heal(self) -> None:
        """End all partitions, lost answers and faults of the platform."""
        self.cut(set())
        self.net.losing_answers_to.clear()
        self.platform.faults.lost_answers = 0
        self.platform.faults.lost_writes = 0
        self.platform.faults.stale_reads = 0
        self.platform.faults.delay_s = PLATFORM_DELAY_S
        self.platform.set_down(False)

    async def _start(self, host: KeyedHost) -> None:
        host.incarnation += 1
        clock = TrioClock()
        peers = FakePeers(self.net, host.identity, host.incarnation)
        claims = Claims(
            self.platform.as_caller(host.identity.id),
            peers,
            clock,
            ClaimSettings(host.identity.id, host.identity.zone),
            unix_now=clock.now,
        )
        host.dispatcher = Dispatcher(Scheduler(), self.targets, clock, claims)
        host.dispatcher.set_targets(self.listed, host.identity.zone)
        scope = host.new_scope()

        async def run() -> None:
            with scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(dispatcher.run)
                    nursery.start_soon(claims.run)

        dispatcher = host.dispatcher
        self.loop.start(run)
