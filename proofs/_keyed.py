"""Several entry hosts that share targets and claim idempotency keys."""

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
# A key may run again once it is no longer remembered: ten minutes after its
# claim, of which a run may take up to its deadline.
KEY_MEMORY_S = 580.0
PEER_DELAY_S = 0.0005
PLATFORM_DELAY_S = 0.001


@dataclass(slots=True, frozen=True)
class SeatHost:
    """An entry host's name and zone, which outlive its restarts."""

    id: str
    zone: str


class PeerNet:
    """The way between hosts: cuts, lost answers, hosts that are gone."""

    def __init__(self):
        self.by_id: dict[str, FakePeers] = {}
        self.cut_zones: set[str] = set()
        self.losing_answers_to: set[str] = set()

    def reaches(self, one: "FakePeers", other: "FakePeers") -> bool:
        """Tell whether a message passes from one host to another."""
        if self.by_id.get(one.host.id) is not one:
            return False
        return (one.host.zone in self.cut_zones) == (other.host.zone in self.cut_zones)


class FakePeers:
    """A `PeerPort` of one host in one incarnation."""

    def __init__(self, net: PeerNet, host: SeatHost, incarnation: int):
        self.net = net
        self.host = host
        self.incarnation = incarnation
        self.handlers_by_topic = {}
        net.by_id[host.id] = self

    def members(self) -> list[Member]:
        """Return the hosts that run."""
        return [
            Member(peers.host.id, peers.host.zone, "", peers.incarnation)
            for peers in self.net.by_id.values()
        ]

    def answer(self, topic, handler) -> None:
        """Register a topic's handler."""
        self.handlers_by_topic[topic] = handler

    async def ask(
        self, member_id: str, topic: str, payload: bytes, timeout_s: float
    ) -> Result[bytes, Fault]:
        """Ask a member; the answer may be lost after the question was handled."""
        await trio.sleep(PEER_DELAY_S)
        other = self.net.by_id.get(member_id)
        if other is None or not self.net.reaches(self, other):
            return await self._unreachable(timeout_s)
        answer = await other.handlers_by_topic[topic](self.host.id, payload)
        await trio.sleep(PEER_DELAY_S)
        is_lost = self.host.id in self.net.losing_answers_to
        if is_lost or not self.net.reaches(self, other):
            return await self._unreachable(timeout_s)
        return answer

    async def _unreachable(self, timeout_s: float) -> Result[bytes, Fault]:
        await trio.sleep(timeout_s)
        return Error(fault(ResultCode.PEER_UNREACHABLE))


@dataclass(slots=True)
class Seat:
    """One entry host in its present incarnation."""

    host: SeatHost
    incarnation: int = 0
    dispatcher: Dispatcher | None = None
    scopes: list[trio.CancelScope] = field(default_factory=list)

    def new_scope(self) -> trio.CancelScope:
        """Return a scope that ends with this incarnation."""
        self.scopes.append(trio.CancelScope())
        return self.scopes[-1]


class KeyedWorld:
    """Entry hosts in three zones, callers that repeat keys at any of them."""

    def __init__(self, seed: int, hosts: int, replicas: int):
        self.loop = Loop(seed)
        self.net = PeerNet()
        self.listed = list(service_targets(replicas))
        self.targets = FakeTargets(self.listed)
        self.loop.start(self.targets.run)
        self.callers: list[Caller] = []
        self.seats = [
            Seat(SeatHost(f"h{number}", ZONES[number % 3])) for number in range(hosts)
        ]
        self.platform = FakePlatform(TrioClock())
        self.platform.faults.delay_s = PLATFORM_DELAY_S
        for seat in self.seats:
            self.loop.run(lambda seat=seat: self._start(seat))
        self.loop.settle()

    def send(self, host_index: int, key: str, deadline_s: float) -> None:
        """Let a caller send a keyed call, or a repeat of it, through a host."""
        seat = self.seats[host_index % len(self.seats)]
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
        dispatcher, own_scope = seat.dispatcher, seat.new_scope()

        async def ask() -> None:
            with own_scope, caller.scope:
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
        """Kill a host with all that it runs; it comes back with no memory."""
        seat = self.seats[host_index % len(self.seats)]
        # Gone from the network first: a killed process settles no claim.
        del self.net.by_id[seat.host.id]
        for scope in seat.scopes:
            scope.cancel()
        seat.scopes.clear()
        self.loop.settle()
        self.loop.run(lambda: self._start(seat))

    def check(self) -> None:
        """Check that no key ran twice and that every caller heard the truth."""
        runs_by_key = defaultdict(list)
        key_by_request = {c.request.id: c.request.idempotency_key for c in self.callers}
        for call in self.targets.record.calls:
            runs_by_key[key_by_request[call.request_id]].append(call)
        for key, runs in runs_by_key.items():
            for first, second in zip(runs, runs[1:], strict=False):
                apart_s = second.at - first.at
                assert apart_s >= KEY_MEMORY_S, f"{key} ran again after {apart_s} s"
        for caller in self.callers:
            self._check_told(caller, runs_by_key[caller.request.idempotency_key])

    def check_end(self) -> None:
        """Check that everything ended, once all faults are over."""
        self.heal()
        for engine in self.targets.by_id.values():
            engine.frozen = False
        self.loop.pass_time(10.0 + END_BOUND_S)
        self.check()
        assert all(caller.ended_at is not None for caller in self.callers)
        assert all(seat.dispatcher.in_flight == 0 for seat in self.seats)

    def _check_told(self, caller: Caller, runs: list) -> None:
        if caller.answer is None:
            late_s = self.loop.now - caller.request.deadline
            assert caller.cancelled or late_s <= END_BOUND_S, "no outcome in time"
            return
        match caller.answer:
            case Result(tag="ok", ok=answer):
                assert answer.body == service_body(caller.request), "not its own answer"
                assert runs, "told finished, but nothing ran"
            case Result(tag="error", error=problem):
                if problem.outcome is Outcome.NOT_RUN:
                    before = [run for run in runs if run.at <= caller.ended_at]
                    recent = [
                        run for run in before if caller.ended_at - run.at < KEY_MEMORY_S
                    ]
                    assert not recent, f"told not run ({problem}), but the key ran"

    def cut(self, zones: set[str]) -> None:
        """Cut zones off from the others and from the platform."""
        self.net.cut_zones = zones
        self.platform.faults.cut_off = {
            seat.host.id for seat in self.seats if seat.host.zone in zones
        }

    def heal(self) -> None:
        """End cuts, losses and the platform's troubles."""
        self.cut(set())
        self.net.losing_answers_to.clear()
        self.platform.faults.lost_answers = 0
        self.platform.faults.lost_writes = 0
        self.platform.faults.stale_reads = 0
        self.platform.faults.delay_s = PLATFORM_DELAY_S
        self.platform.set_down(False)

    async def _start(self, seat: Seat) -> None:
        seat.incarnation += 1
        clock = TrioClock()
        peers = FakePeers(self.net, seat.host, seat.incarnation)
        claims = Claims(
            self.platform.as_caller(seat.host.id),
            peers,
            clock,
            ClaimSettings(seat.host.id, seat.host.zone),
            unix_now=clock.now,
        )
        seat.dispatcher = Dispatcher(Scheduler(), self.targets, clock, claims)
        seat.dispatcher.set_targets(self.listed, seat.host.zone)
        scope = seat.new_scope()

        async def run() -> None:
            with scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(dispatcher.run)
                    nursery.start_soon(claims.run)

        dispatcher = seat.dispatcher
        self.loop.start(run)
