"""Runs the dispatcher and its scheduler over fakes, with an oracle."""

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
# Replicas alternate between two zones with no known link between them: no route
# crosses zones, and a dead stage sends the request to the other zone's chain.
ZONES = ("a", "b")
# The guarantee is "after a few seconds": a retry that was decided just before may
# still wait for its pause and for the time limit on moving a cache.
LEAVING_BOUND_S = 3.0
# Time for an answer to arrive after its deadline: two steps and a wakeup.
END_BOUND_S = 1.0
# A final answer after a decision to stop retrying needs no virtual time.
FINAL_ANSWER_BOUND_S = 0.3


# Classes that keep ended requests on purpose, in bounded number.
BOUNDED_STORES = frozenset({"Journal"})
# The leak check follows objects of these modules only, because trio's own objects
# hold every task.
OWN_MODULES = frozenset({"radishfield", "proofs", "collections"})


@dataclass(slots=True, eq=False)
class Caller:
    """A caller with its request, the tokens it received and its answer."""

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


class OracleRecords(dict[str, float]):
    """Values by request that only the oracle holds, and that are not a leak."""


class RecordingScheduler(Scheduler):
    """A scheduler that records its refusals and the progress reported to it."""

    __slots__ = ("given_up_at", "position_by_request")

    def __init__(self):
        super().__init__()
        self.given_up_at = OracleRecords()
        self.position_by_request = OracleRecords()

    def progressed(self, request_id, position, now):
        """Record the latest position reported to the scheduler."""
        super().progressed(request_id, position, now)
        self.position_by_request[request_id] = position

    def offer(self, work, now):
        """Record a refusal."""
        decision = super().offer(work, now)
        if isinstance(decision, Refused):
            self.given_up_at.setdefault(work.request_id, now)
        return decision

    def take(self, now):
        """Record each expiry."""
        decisions = super().take(now)
        for decision in decisions:
            if isinstance(decision, Expired):
                self.given_up_at.setdefault(decision.work.request_id, now)
        return decisions

    def failed(self, failure, now):
        """Record a request that gets no further attempt."""
        decision = super().failed(failure, now)
        if isinstance(decision, GiveUp):
            self.given_up_at.setdefault(failure.request_id, now)
        return decision


class ServingWorld:
    """One entry host's dispatcher with fake targets, in virtual time."""

    def __init__(self, seed: int, stages: int, replicas: int):
        self.loop = Loop(seed)
        self.target_by_id = {target.id: target for target in _targets(stages, replicas)}
        self.targets = FakeTargets(list(self.target_by_id.values()))
        self.loop.start(self.targets.run)
        self.scheduler = RecordingScheduler()
        self.dispatcher = Dispatcher(self.scheduler, self.targets, TrioClock())
        if hasattr(self.dispatcher, "run"):
            self.loop.start(self.dispatcher.run)
        self.callers: list[Caller] = []
        self.leaving_since: dict[str, float] = {}
        self._update_targets()
        self.loop.settle()

    # Actions and faults.

    def send(
        self, idempotent: bool, max_tokens: int, deadline_s: float, push_s: float
    ) -> Caller:
        """Let a new caller send a request to the model."""
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
        """Report to the dispatcher that a target is leaving."""
        self.target_by_id[target_id] = replace(
            self.target_by_id[target_id], state=TargetState.LEAVING
        )
        self.leaving_since.setdefault(target_id, self.loop.now)
        self._update_targets()

    def report_leaving(self, target_id: str) -> None:
        """Let a target report that it is leaving, while the list lags behind.

        A change of another target delivers the list again, where this one is still
        live.
        """
        self.leaving_since.setdefault(target_id, self.loop.now)
        report = self.loop.run(
            lambda: self.targets.load(self.targets.by_id[target_id].target)
        )
        if report.is_ok():
            self.dispatcher.observe_load(replace(report.ok, leaving=True))
        else:
            self.leaving_since.pop(target_id)
        other = next(iter(self.target_by_id.values()))
        self.target_by_id[other.id] = replace(other, speed_tps=other.speed_tps + 1)
        self._update_targets()

    def report_loads(self) -> None:
        """Let every reachable target report its load."""

        async def ask() -> list[Result]:
            engines = self.targets.by_id.values()
            return [await self.targets.load(engine.target) for engine in engines]

        for report in self.loop.run(ask):
            if report.is_ok():
                self.dispatcher.observe_load(report.ok)

    def revive(self, target_id: str) -> None:
        """Start a target again and list it as live."""
        self.targets.revive(target_id)
        self.target_by_id[target_id] = self.targets.by_id[target_id].target
        self.leaving_since.pop(target_id, None)
        self._update_targets()

    def heads(self) -> list[FakeEngine]:
        """Return the engines that can be the first stage of a route."""
        return [
            engine
            for engine in self.targets.by_id.values()
            if engine.target.kind is TargetKind.ENGINE
            and engine.target.layers.first == 0
        ]

    def end_faults(self) -> None:
        """End every fault, and start dead targets again."""
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
        """End every fault, and wait until every caller must have its answer."""
        self.end_faults()
        open_callers = [caller for caller in self.callers if caller.ended_at is None]
        latest_deadline = max((c.request.deadline for c in open_callers), default=0.0)
        self.loop.pass_time(max(0.0, latest_deadline - self.loop.now) + END_BOUND_S)

    # Invariants.

    def check(self) -> None:
        """Check the invariants that hold at any moment."""
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
        """Check that all requests end and leave no state once all faults are over."""
        self.heal()
        self.check()
        assert all(caller.ended_at is not None for caller in self.callers)
        assert self.targets.record.open_streams == 0, "a stream was left open"
        ids = {caller.request.id for caller in self.callers}
        retained = sorted(set(find_retained_keys(self.dispatcher, ids)))
        assert not retained, f"ended requests are still held: {retained}"

    def _check_tokens(self, caller: Caller) -> None:
        """Check that committed tokens passed each layer once, in order, per attempt."""
        if caller.tokens:
            recorded_position = self.scheduler.position_by_request.get(
                caller.request.id
            )
            assert (
                recorded_position == len(caller.tokens) - 1
            ), "the scheduler did not receive the latest position"
        for position, token in enumerate(caller.tokens):
            assert token.position == position, "a gap, or a token forwarded twice"
            receipt = token.receipt
            assert receipt.request_id == caller.request.id, "another caller's token"
            token_key = (receipt.request_id, receipt.attempt, position)
            runs = self.targets.record.layers_by_token.get(token_key, ())
            layers = [
                layer
                for run in runs
                for layer in range(run.layers.first, run.layers.end)
            ]
            assert layers == list(
                range(MODEL_LAYERS)
            ), "the layers did not run once each, in order"

    def _check_answer(self, caller: Caller) -> None:
        if caller.answer is None:
            assert caller.cancelled, "ended without an answer"
            return
        match caller.answer:
            case Result(tag="ok", ok=value):
                self._check_complete(caller, value)
            case Result(tag="error", error=problem):
                self._check_refusal(caller, problem)

    def _check_complete(self, caller: Caller, value: object) -> None:
        request = caller.request
        if isinstance(request, ServiceRequest):
            assert value.body == service_body(request), "another caller's answer"
            return
        expected = expected_words(
            MODEL, request.prompt, MODEL_LAYERS, request.max_tokens
        )
        texts = tuple(token.text for token in caller.tokens)
        assert texts == expected, "not the complete answer to the caller's own request"

    def _check_refusal(self, caller: Caller, problem: Fault) -> None:
        request = caller.request
        runs = self.targets.record.runs_by_request[request.id]
        if problem.outcome is Outcome.NOT_RUN:
            assert (
                runs == 0
            ), f"reported as not run ({problem}), but it ran {runs} times"
        assert (
            problem.outcome is not Outcome.FINISHED
        ), "a fault with the outcome finished"
        given_up = self.scheduler.given_up_at.get(request.id)
        if given_up is not None:
            held_s = caller.ended_at - given_up
            assert held_s <= FINAL_ANSWER_BOUND_S, f"final answer delayed by {held_s} s"

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
            assert not late, f"new work sent to a leaving target: {late}"

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

    def _update_targets(self) -> None:
        self.dispatcher.set_targets(list(self.target_by_id.values()), "a")


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


def find_retained_keys(root: object, keys: set[str]) -> Iterator[str]:
    """Yield each of ``keys`` that a mapping or set reachable from ``root`` holds.

    A request that has ended but is still a key somewhere is a leak, which grows
    by millions of entries a day at the target size of the system.
    """
    seen: set[int] = set()
    pending = [root]
    while pending:
        value = pending.pop()
        if id(value) in seen or not _is_own_object(value):
            continue
        seen.add(id(value))
        if isinstance(value, dict | set):
            yield from (key for key in value if isinstance(key, str) and key in keys)
        pending.extend(gc.get_referents(value))


def _is_own_object(value: object) -> bool:
    if isinstance(value, type | FakeTargets | OracleRecords):
        return False
    if type(value).__name__ in BOUNDED_STORES:
        return False
    if isinstance(value, dict | set | list | tuple):
        return True
    return type(value).__module__.split(".")[0] in OWN_MODULES
