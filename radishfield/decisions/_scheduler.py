"""The scheduler, which combines all decisions in one object."""

from collections.abc import Sequence
from dataclasses import replace

from radishfield.core import (
    CacheEvent,
    Link,
    LoadReport,
    Priority,
    ResultCode,
    Target,
    TargetKind,
    fault,
)
from radishfield.decisions._admission import (
    Forecast,
    check_admission,
    spread_retry_delay,
)
from radishfield.decisions._affinity import PrefixIndex
from radishfield.decisions._claims import Claim
from radishfield.decisions._data import (
    Dispatch,
    Expired,
    Failure,
    GiveUp,
    Queued,
    Refused,
    Retry,
    Work,
)
from radishfield.decisions._failures import FailureDecider
from radishfield.decisions._journal import Journal, Note
from radishfield.decisions._lengths import LengthEstimate
from radishfield.decisions._pool import Pool
from radishfield.decisions._precedence import WorkspaceLoad, engine_priority
from radishfield.decisions._queues import Entry, Lane, WorkQueue, lane_for
from radishfield.decisions._running import RunningRequest
from radishfield.decisions._snapshot import Snapshot, build_snapshot

TICK_S = 1.0
"""Weights, stale reports and ejections are checked once a second."""

NO_TARGET_RETRY_S = 2.0
"""A fleet that covers no model now may do so after a restart or a placement."""

QUICKEST_MARGIN = 1.15
"""Factor on the quickest chain's time, for work that only this chain can finish,
since its targets may be full for a moment."""

START_MARGIN = 1.0
"""Factor on the expected run at the start.  Work started any later ends late
more often than not, and its capacity can serve other work."""

PoolKey = tuple[TargetKind, str]


class Scheduler:
    """Admission, queue, routes, limits, retries and recovery in one interface.

    Every method is a plain call; ``now`` is a `Clock` reading in seconds.
    Offered work leaves in exactly one way: it is taken once as a `Dispatch`, or
    ended by `Refused`, `Expired` or `withdraw`.
    """

    __slots__ = (
        "_failures",
        "_fleet",
        "_last_received_at",
        "_journal",
        "_lengths",
        "_pools_by_key",
        "_prefixes",
        "_queues_by_key",
        "_running_by_request",
        "_workspace_load",
        "_ticked_at",
    )

    def __init__(self):
        self._failures = FailureDecider()
        self._fleet: tuple | None = None
        # When the last message of any target arrived.  None before the first load
        # report: without these an idle host receives nothing although all is well.
        self._last_received_at: float | None = None
        self._journal = Journal()
        self._lengths = LengthEstimate()
        self._pools_by_key: dict[PoolKey, Pool] = {}
        self._prefixes = PrefixIndex()
        self._queues_by_key: dict[PoolKey, WorkQueue] = {}
        self._running_by_request: dict[str, RunningRequest] = {}
        self._workspace_load = WorkspaceLoad()
        self._ticked_at: float | None = None

    def set_fleet(
        self,
        targets: Sequence[Target],
        links: Sequence[Link],
        zone: str,
        entry_hosts: int,
        now: float,
    ) -> None:
        """Replace the targets and links, which ``entry_hosts`` hosts share.

        A fleet equal to the current one costs only a comparison.
        """
        fleet = tuple(targets), tuple(links), zone, entry_hosts
        if fleet == self._fleet:
            return
        self._fleet = fleet
        members: dict[PoolKey, list[Target]] = {key: [] for key in self._pools_by_key}
        for target in targets:
            members.setdefault((target.kind, target.model), []).append(target)
        for key, held in members.items():
            pool = self._pools_by_key.setdefault(key, Pool(key[0]))
            pool.set_targets(held, links, zone, entry_hosts)
        self._prefixes.keep_only({target.id for target in targets})

    def observe_load(self, report: LoadReport, now: float) -> None:
        """Apply a target's load report, which arrives with a delay."""
        self._last_received_at = now
        for pool in self._pools_by_key.values():
            pool.observe(report, now)

    def observe_cache(self, event: CacheEvent, now: float) -> None:
        """Apply a target's cache event, which arrives with a delay."""
        self._prefixes.observe(event, now)

    def target_leaving(self, target_id: str, now: float) -> None:
        """Send a target no new work until it comes back as a new incarnation."""
        for pool in self._pools_by_key.values():
            pool.leave(target_id)

    def offer(self, work: Work, now: float) -> Queued | Refused:
        """Admit or refuse new work."""
        key = work.kind, work.model
        pool = self._pools_by_key.get(key)
        if pool is None or not pool.served:
            retry = spread_retry_delay(work, NO_TARGET_RETRY_S)
            return self._refuse(
                work, fault(ResultCode.NO_TARGET, work.model, retry), now
            )
        queue = self._queues_by_key.get(key)
        if queue is None:
            queue = self._queues_by_key[key] = WorkQueue()
        cost = self._lengths.expected_cost(work)
        lane = lane_for(cost)
        light = self._workspace_load.is_light(work.workspace, cost)
        sent_priority = engine_priority(work.priority, lane, light)
        run_s = self._run_s(pool, work, cost, sent_priority)
        ahead = queue.ahead_of(work, cost, lane) if len(queue) else 0.0
        forecast = Forecast(ahead / pool.drain_tps, run_s, len(queue), False)
        problem = check_admission(work, forecast, now)
        if problem is not None and queue.over_share(work):
            problem = check_admission(work, replace(forecast, over_share=True), now)
        if problem is not None:
            return self._refuse(work, problem, now)
        latest_start = work.deadline - pool.token_times.at(
            sent_priority
        ).conservative_s(cost)
        queue.push(Entry(work, cost, latest_start, lane))
        self._workspace_load.begin(work.workspace, cost)
        self._journal.note(work.request_id, Note(now, "queued", f"{ahead:.0f} ahead"))
        return Queued(work.request_id)

    def withdraw(self, request_id: str, now: float) -> bool:
        """Remove work from the queue; False if it is not in it (any more)."""
        for queue in self._queues_by_key.values():
            entry = queue.withdraw(request_id)
            if entry is not None:
                self._workspace_load.end(entry.work.workspace, entry.cost)
                self._journal.note(request_id, Note(now, "withdrawn"))
                return True
        return False

    def take(self, now: float) -> list[Dispatch | Expired]:
        """Return the work to start or to end now; each entry is returned once."""
        self._tick(now)
        taken: list[Dispatch | Expired] = []
        for key, queue in self._queues_by_key.items():
            if not len(queue):
                continue
            pool = self._pools_by_key[key]
            for entry in queue.expire(now):
                taken.append(self._expire(pool, queue, entry, now))
            self._start_waiting(pool, queue, taken, now)
        return taken

    def next_wakeup(self, now: float) -> float | None:
        """Return when `take` should be called again at the latest."""
        times = [
            pool.ejector.next_readmission() for pool in self._pools_by_key.values()
        ]
        for queue in self._queues_by_key.values():
            if len(queue):
                times += [queue.next_expiry(), now + TICK_S]
        return min((at for at in times if at is not None), default=None)

    def progressed(self, request_id: str, position: int, now: float) -> None:
        """Record that the token at a position, from 0, was committed."""
        running = self._running_by_request.get(request_id)
        if running is None:
            return
        if self._last_received_at is not None:
            self._last_received_at = now
        running.pool.drain.add_tokens(running.advance(position, now))
        token_s = running.sample_token_s()
        if token_s is not None:
            running.pool.learn_token(
                running.claim, running.dispatch.engine_priority, token_s
            )

    def ended(self, request_id: str, finished: bool, now: float) -> None:
        """Record that running work has ended, and release what it held."""
        running = self._running_by_request.pop(request_id, None)
        if running is None:
            return
        running.release()
        self._workspace_load.end(running.dispatch.work.workspace, running.cost)
        self._journal.note(request_id, Note(now, "finished" if finished else "ended"))
        work, pool = running.dispatch.work, running.pool
        if work.kind is TargetKind.SERVICE:
            running.pool.drain.add_tokens(1)
        if running.measures_token_time():
            # Includes work stopped at its deadline, since that is the slowest work.
            sent_priority = running.dispatch.engine_priority
            seconds = now - running.started_at
            pool.token_times.learn(sent_priority, seconds, running.cost_so_far())
        if not finished:
            return
        self._lengths.learn(work, running.tokens)
        for load in running.claim.loads:
            pool.ejector.succeeded(load.target.id)

    def failed(self, failure: Failure, now: float) -> Retry | GiveUp:
        """Decide what follows an attempt's failure; does not end the work."""
        running = self._running_by_request[failure.request_id]
        decision = self._failures.decide(running, failure, now)
        step = "retried" if isinstance(decision, Retry) else "given up"
        self._journal.note(failure.request_id, Note(now, step, decision.reason))
        return decision

    def may_replace(self, failure: Failure, since: float, now: float) -> bool:
        """Tell whether another attempt could replace a silent one now.

        If none could, the attempt has to continue.  `failed` is not called for
        the silence then, so it is counted against the target here.  A host that
        received nothing from any target meanwhile is unreachable itself.  Then
        the silence does not implicate this target, and a start at another one
        would be lost.

        Parameters
        ----------
        since : float
            When the attempt's last connection was started.
        """
        running = self._running_by_request[failure.request_id]
        silent_from = max(since, running.last_progress_at)
        if self._last_received_at is not None and self._last_received_at <= silent_from:
            return False
        return self._failures.may_replace(running, failure, now)

    def explain(self, request_id: str) -> tuple[Note, ...]:
        """Return the decisions on a recent request, in order."""
        return self._journal.notes(request_id)

    def snapshot(self, now: float) -> Snapshot:
        """Return the current state for status pages and metrics."""
        return build_snapshot(
            self._pools_by_key, self._queues_by_key, len(self._running_by_request)
        )

    def _run_s(
        self, pool: Pool, work: Work, cost: float, sent_priority: Priority
    ) -> float:
        """Return a conservative run time, on the quickest targets if needed."""
        spread = self._lengths.relative_spread(work)
        run_s = pool.token_times.at(sent_priority).conservative_s(cost, spread)
        if run_s <= work.deadline - work.arrived:
            return run_s
        quickest_s = pool.quickest_s * pool.token_times.factor(sent_priority) * cost
        return min(run_s, quickest_s * (QUICKEST_MARGIN + spread))

    def _refuse(self, work: Work, problem, now: float) -> Refused:
        refused = Refused(problem)
        self._journal.note(work.request_id, Note(now, "refused", problem.detail))
        return refused

    def _expire(
        self, pool: Pool, queue: WorkQueue, entry: Entry, now: float
    ) -> Expired:
        # All waiting work has to leave the queue before a new request would start.
        retry = spread_retry_delay(entry.work, queue.backlog() / pool.drain_tps)
        detail = "can no longer finish on time"
        problem = fault(ResultCode.EXPIRED_IN_QUEUE, detail, retry)
        self._workspace_load.end(entry.work.workspace, entry.cost)
        self._journal.note(entry.work.request_id, Note(now, "expired"))
        return Expired(entry.work, problem)

    def _start_waiting(
        self,
        pool: Pool,
        queue: WorkQueue,
        taken: list[Dispatch | Expired],
        now: float,
    ) -> None:
        """Dispatch work that finds free capacity, the highest priority first.

        Once short work of a priority finds none, no lower priority is tried, as
        it would take the next capacity that becomes free.
        """
        if pool.full:
            return
        for priority in Priority:
            blocked: set[Lane] = set()
            while queue.waiting_at(priority):
                heads = [e for e in queue.heads(priority) if e.lane not in blocked]
                if not heads:
                    break
                entry = heads[0]
                sent_priority = self._sent_priority(entry)
                claim = self._claim_for(pool, entry, sent_priority, now)
                if claim is None:
                    blocked.add(entry.lane)
                    continue
                queue.pop(entry)
                if _would_end_late(
                    claim, entry, pool.token_times.factor(sent_priority), now
                ):
                    taken.append(self._expire(pool, queue, entry, now))
                else:
                    taken.append(self._start(pool, entry, claim, sent_priority, now))
            if Lane.SHORT in blocked:
                return

    def _claim_for(
        self, pool: Pool, entry: Entry, sent_priority: Priority, now: float
    ) -> Claim | None:
        preferred: frozenset[str] = frozenset()
        if entry.work.prefix_key:
            holders = self._prefixes.holders(entry.work.prefix_key, now)
            preferred = pool.within_load_bound(holders)
        # Work that is short of time gets the quickest targets with free capacity.
        left_s = entry.work.deadline - now
        fast = left_s < pool.token_times.at(sent_priority).conservative_s(entry.cost)
        return pool.pick(entry.lane is Lane.LONG, preferred=preferred, fast=fast)

    def _sent_priority(self, entry: Entry) -> Priority:
        light = self._workspace_load.is_light(entry.work.workspace)
        return engine_priority(entry.work.priority, entry.lane, light)

    def _start(
        self,
        pool: Pool,
        entry: Entry,
        claim: Claim,
        sent_priority: Priority,
        now: float,
    ) -> Dispatch:
        work = entry.work
        dispatch = Dispatch(
            work, 1, claim.route, claim.target, "least loaded", sent_priority
        )
        pool.begin(claim)
        self._running_by_request[work.request_id] = RunningRequest(
            pool, dispatch, claim, now, entry.cost
        )
        self._failures.count_request(now)
        held = [load.target.id for load in claim.loads]
        if work.prefix_key:
            self._prefixes.record_prefix_use(work.prefix_key, held, now)
        self._journal.note(work.request_id, Note(now, "dispatched", " ".join(held)))
        return dispatch

    def _tick(self, now: float) -> None:
        if self._ticked_at is None:
            self._ticked_at = now
        elapsed = now - self._ticked_at
        if elapsed < TICK_S:
            return
        self._ticked_at = now
        for key, pool in self._pools_by_key.items():
            pool.tick(elapsed, now)
            queue = self._queues_by_key.get(key, ())
            pool.drain.tick(now, len(queue) > 0, pool.host_tps)
            pool.readmit(pool.ejector.readmit(now))
            for target_id in pool.ejector.eject_slow(list(pool.loads_by_id), now):
                pool.eject(target_id)


def _would_end_late(claim: Claim, entry: Entry, factor: float, now: float) -> bool:
    """Tell whether work would probably end late on the targets of a claim."""
    run_s = claim.expected_s * factor * entry.cost * START_MARGIN
    return now + run_s > entry.work.deadline
