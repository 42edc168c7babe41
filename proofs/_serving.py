"""The dispatcher and the decisions among fakes, and the oracle beside them."""

import gc
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

import trio
from expression import Result

from proofs._loop import Loop
from proofs._targets import STEP_S, FakeEngine, FakeTargets, service_body
from radishfield.core import (
    Fault,
    LayerRange,
    Outcome,
    Profile,
    Request,
    ServiceRequest,
    Target,
    TargetKind,
    TargetState,
    Token,
    TrioClock,
)
from radishfield.decisions import Expired, GiveUp, Refused, Scheduler
from radishfield.serving import Dispatcher
from standins.model import expected_words

MODEL = "small"
SERVICE_MODEL = "lookup"
MODEL_LAYERS = 8
# Replicas stand in turn in two zones, with no known link between them: a route
# crosses nowhere, and a dead stage sends the request to the other zone's chain.
ZONES = ("a", "b")
# The promise is "after a few seconds": a retry that was decided just before may
# still wait out its pause and the limit on moving a cache.
LEAVING_BOUND_S = 3.0
# Room for an answer to travel after its deadline: two steps and a wakeup.
END_BOUND_S = 1.0
# A final answer that follows a decision to give up needs no virtual time.
AT_ONCE_S = 0.3


# What the product remembers of ended requests on purpose, in bounded number.
BOUNDED_MEMORIES = frozenset({"Journal"})
# The leak check looks into these only; trio's own objects hold every task.
OWN_MODULES = frozenset({"radishfield", "proofs", "collections"})


@dataclass(slots=True, eq=False)
class Caller:
    """A caller, what it asked for and what it was told."""

    request: Request | ServiceRequest
    push_s: float = 0.0
    tokens: list[Token] = field(default_factory=list)
    answer: Result | None = None
    ended_at: float | None = None
    cancelled: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    async def push(self, token: Token) -> None:
        """Take one committed token, as a `TokenSink`."""
        self.tokens.append(token)
        if self.push_s:
            await trio.sleep(self.push_s)


class WatchedNotes(dict[str, float]):
    """Figures by request that only the oracle holds; no leak."""


class WatchedScheduler(Scheduler):
    """The scheduler, with notes of what it decided and what it was told."""

    __slots__ = ("given_up_at", "position_by_request")

    def __init__(self):
        super().__init__()
        self.given_up_at = WatchedNotes()
        self.position_by_request = WatchedNotes()

    def progressed(self, request_id, position, now):
        """Note the latest position that it was told of."""
        super().progressed(request_id, position, now)
        self.position_by_request[request_id] = position

    def offer(self, work, now):
        """Note a refusal."""
        decision = super().offer(work, now)
        if isinstance(decision, Refused):
            self.given_up_at.setdefault(work.request_id, now)
        return decision

    def take(self, now):
        """Note each expiry."""
        decisions = super().take(now)
        for decision in decisions:
            if isinstance(decision, Expired):
                self.given_up_at.setdefault(decision.work.request_id, now)
        return decisions

    def failed(self, failure, now):
        """Note a request that gets no further attempt."""
        decision = super().failed(failure, now)
        if isinstance(decision, GiveUp):
            self.given_up_at.setdefault(failure.request_id, now)
        return decision


class ServingWorld:
    """One entry host's dispatcher among fake targets, in virtual time."""

    def __init__(self, seed: int, stages: int, replicas: int):
        self.loop = Loop(seed)
        self.listed = {target.id: target for target in _targets(stages, replicas)}
        self.targets = FakeTargets(list(self.listed.values()))
        self.loop.start(self.targets.run)
        self.scheduler = WatchedScheduler()
        self.dispatcher = Dispatcher(self.scheduler, self.targets, TrioClock())
        if hasattr(self.dispatcher, "run"):
            self.loop.start(self.dispatcher.run)
        self.callers: list[Caller] = []
        self.leaving_since: dict[str, float] = {}
        self._tell_targets()
        self.loop.settle()

    # What may happen.

    def send(
        self, idempotent: bool, max_tokens: int, deadline_s: float, push_s: float
    ) -> Caller:
        """Let a new caller ask for an answer of the model."""
        now = self.loop.now
        number = len(self.callers)
        request = Request(
            f"request-{number}",
            f"workspace-{number % 3}",
            Profile("review", MODEL, deadline_s=deadline_s, idempotent=idempotent),
            f"prompt {number}",
            max_tokens,
            now,
            now + deadline_s,
        )
        return self._add(Caller(request, push_s))

    def call(self, idempotent: bool, deadline_s: float) -> Caller:
        """Let a new caller call the plain service."""
        now = self.loop.now
        number = len(self.callers)
        profile = Profile(
            "lookup",
            SERVICE_MODEL,
            TargetKind.SERVICE,
            deadline_s=deadline_s,
            idempotent=idempotent,
        )
        request = ServiceRequest(
            f"request-{number}",
            f"workspace-{number % 3}",
            profile,
            "POST",
            f"/boards/{number}",
            b"body",
            now,
            now + deadline_s,
        )
        return self._add(Caller(request))

    def cancel(self, caller: Caller) -> None:
        """Let a caller hang up."""
        caller.scope.cancel()
        self.loop.settle()

    def drain(self, target_id: str) -> None:
        """Tell the dispatcher that a target is leaving."""
        self.listed[target_id] = replace(
            self.listed[target_id], state=TargetState.LEAVING
        )
        self.leaving_since.setdefault(target_id, self.loop.now)
        self._tell_targets()

    def report_leaving(self, target_id: str) -> None:
        """Let a target say that it is leaving, while the list lags behind.

        Another target's change brings the list again, still with this one live.
        """
        self.leaving_since.setdefault(target_id, self.loop.now)
        report = self.loop.run(
            lambda: self.targets.load(self.targets.by_id[target_id].target)
        )
        if report.is_ok():
            self.dispatcher.observe_load(replace(report.ok, leaving=True))
        else:
            self.leaving_since.pop(target_id)
        other = next(iter(self.listed.values()))
        self.listed[other.id] = replace(other, speed_tps=other.speed_tps + 1)
        self._tell_targets()

    def tell_load(self) -> None:
        """Let every target that can be reached tell its load."""

        async def ask() -> list[Result]:
            engines = self.targets.by_id.values()
            return [await self.targets.load(engine.target) for engine in engines]

        for report in self.loop.run(ask):
            if report.is_ok():
                self.dispatcher.observe_load(report.ok)

    def revive(self, target_id: str) -> None:
        """Start a target anew and list it as live."""
        self.targets.revive(target_id)
        self.listed[target_id] = self.targets.by_id[target_id].target
        self.leaving_since.pop(target_id, None)
        self._tell_targets()

    def heads(self) -> list[FakeEngine]:
        """Return the engines that can be the first stage of a route."""
        return [
            engine
            for engine in self.targets.by_id.values()
            if engine.target.kind is TargetKind.ENGINE
            and engine.target.layers.first == 0
        ]

    def end_faults(self) -> None:
        """End every fault; dead targets start again."""
        for target_id, engine in self.targets.by_id.items():
            engine.frozen = False
            engine.refusing = False
            engine.step_s = STEP_S
            engine.troubles.clear()
            engine.lost = 0
            if not engine.alive:
                self.revive(target_id)
        self.loop.settle()

    def heal(self) -> None:
        """End every fault, and wait until each caller must have its answer."""
        self.end_faults()
        open_callers = [caller for caller in self.callers if caller.ended_at is None]
        last = max((c.request.deadline for c in open_callers), default=0.0)
        self.loop.pass_time(max(0.0, last - self.loop.now) + END_BOUND_S)

    # What must hold.

    def check(self) -> None:
        """Check every invariant that must hold at any moment."""
        for caller in self.callers:
            self._check_tokens(caller)
            self._check_runs(caller)
            if caller.ended_at is None:
                late_s = self.loop.now - caller.request.deadline
                assert late_s <= END_BOUND_S, f"{caller.request.id} has no outcome"
            else:
                self._check_answer(caller)
        self._check_leaving()

    def check_end(self) -> None:
        """Check that, once all faults are over, all ends and nothing is left."""
        self.heal()
        self.check()
        assert all(caller.ended_at is not None for caller in self.callers)
        assert self.targets.record.open_streams == 0, "a stream was left open"
        ids = {caller.request.id for caller in self.callers}
        left = sorted(set(kept_keys(self.dispatcher, ids)))
        assert not left, f"ended requests are still held: {left}"

    def _check_tokens(self, caller: Caller) -> None:
        """Each committed token passed each layer once, in order, in its attempt."""
        if caller.tokens:
            told = self.scheduler.position_by_request.get(caller.request.id)
            assert told == len(caller.tokens) - 1, "the decisions were not told"
        for position, token in enumerate(caller.tokens):
            assert token.position == position, "a hole, or a token passed on twice"
            receipt = token.receipt
            assert receipt.request_id == caller.request.id, "another caller's token"
            token_key = (receipt.request_id, receipt.attempt, position)
            runs = self.targets.record.layers_by_token.get(token_key, ())
            layers = [
                layer
                for run in runs
                for layer in range(run.layers.first, run.layers.end)
            ]
            assert layers == list(range(MODEL_LAYERS)), "layers not once, in order"

    def _check_answer(self, caller: Caller) -> None:
        if caller.answer is None:
            assert caller.cancelled, "ended without an answer"
            return
        match caller.answer:
            case Result(tag="ok", ok=value):
                self._check_whole(caller, value)
            case Result(tag="error", error=problem):
                self._check_refusal(caller, problem)

    def _check_whole(self, caller: Caller, value: object) -> None:
        request = caller.request
        if isinstance(request, ServiceRequest):
            assert value.body == service_body(request), "another caller's answer"
            return
        expected = expected_words(
            MODEL, request.prompt, MODEL_LAYERS, request.max_tokens
        )
        texts = tuple(token.text for token in caller.tokens)
        assert texts == expected, "not the whole answer to the caller's own request"

    def _check_refusal(self, caller: Caller, problem: Fault) -> None:
        request = caller.request
        runs = self.targets.record.runs_by_request[request.id]
        if problem.outcome is Outcome.NOT_RUN:
            assert runs == 0, f"told not run ({problem}), but it ran {runs} times"
        assert problem.outcome is not Outcome.FINISHED, "a fault that says finished"
        given_up = self.scheduler.given_up_at.get(request.id)
        if given_up is not None:
            held_s = caller.ended_at - given_up
            assert held_s <= AT_ONCE_S, f"final answer held back for {held_s} s"

    def _check_runs(self, caller: Caller) -> None:
        if not caller.request.profile.idempotent:
            runs = self.targets.record.runs_by_request[caller.request.id]
            assert runs <= 1, f"a request that may run once ran {runs} times"

    def _check_leaving(self) -> None:
        for target_id, since in self.leaving_since.items():
            late = [
                start
                for start in self.targets.record.starts
                if target_id in start.target_ids and start.at > since + LEAVING_BOUND_S
            ]
            late += [
                call
                for call in self.targets.record.calls
                if call.target_id == target_id and call.at > since + LEAVING_BOUND_S
            ]
            assert not late, f"new work to a leaving target: {late}"

    def _add(self, caller: Caller) -> Caller:
        self.callers.append(caller)

        async def ask() -> None:
            with caller.scope:
                if isinstance(caller.request, ServiceRequest):
                    answer = await self.dispatcher.call_service(caller.request)
                else:
                    answer = await self.dispatcher.generate(caller.request, caller)
                caller.answer = answer
            caller.cancelled = caller.scope.cancelled_caught
            caller.ended_at = trio.current_time()

        self.loop.start(ask)
        self.loop.settle()
        return caller

    def _tell_targets(self) -> None:
        self.dispatcher.set_targets(list(self.listed.values()), "a")


def _targets(stages: int, replicas: int) -> Iterator[Target]:
    share = MODEL_LAYERS // stages
    for stage in range(stages):
        for replica in range(replicas):
            name = f"engine-{stage}-{replica}"
            layers = LayerRange(stage * share, (stage + 1) * share)
            yield Target(
                name,
                name,
                ZONES[replica % len(ZONES)],
                f"10.0.{stage}.{replica}:1",
                model=MODEL,
                layers=layers,
                model_layers=MODEL_LAYERS,
                speed_tps=100.0,
            )
    yield from service_targets(replicas)


def service_targets(replicas: int) -> Iterator[Target]:
    """Return the plain services of a small fleet."""
    for replica in range(replicas):
        name = f"service-{replica}"
        yield Target(
            name,
            name,
            "a",
            f"10.1.0.{replica}:1",
            TargetKind.SERVICE,
            SERVICE_MODEL,
            speed_tps=100.0,
        )


def kept_keys(root: object, keys: set[str]) -> Iterator[str]:
    """Yield each of ``keys`` that a mapping or set reachable from ``root`` holds.

    A request that has ended but is still a key somewhere is a leak: at the
    target size it grows by millions a day.
    """
    seen: set[int] = set()
    pending = [root]
    while pending:
        thing = pending.pop()
        if id(thing) in seen or not _is_ours(thing):
            continue
        seen.add(id(thing))
        if isinstance(thing, dict | set):
            yield from (key for key in thing if isinstance(key, str) and key in keys)
        pending.extend(gc.get_referents(thing))


def _is_ours(thing: object) -> bool:
    if isinstance(thing, type | FakeTargets | WatchedNotes):
        return False
    if type(thing).__name__ in BOUNDED_MEMORIES:
        return False
    if isinstance(thing, dict | set | list | tuple):
        return True
    return type(thing).__module__.split(".")[0] in OWN_MODULES
