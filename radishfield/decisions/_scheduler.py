"""The decisions composed: one object that a dispatcher or a bench drives."""

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
from radishfield.decisions._admission import Forecast, judge, spread_retry
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
from radishfield.decisions._precedence import HeldShares, engine_priority
from radishfield.decisions._queues import Entry, Lane, WorkQueue, lane_for
from radishfield.decisions._running import Running
from radishfield.decisions._snapshot import Snapshot, view_of

TICK_S = 1.0
"""Weights, stale reports and ejections are looked at once a second."""

NO_TARGET_RETRY_S = 2.0
"""A fleet that covers no model now may do so after a restart or a placement."""

QUICKEST_MARGIN = 1.15
"""Over the quickest chain's time, for work that only this chain can finish: its
targets may be full for a moment."""

START_MARGIN = 1.0
"""Over the expected run at the start: a later start is more often late than
not, and its places serve other work."""

PoolKey = tuple[TargetKind, str]


class Scheduler:
    """Admission, queue, routes, limits, retries and recovery behind one face.

    Every method is a plain call: ``now`` is a `Clock` reading in seconds.
    Work passes exactly one way: offered, then either taken once as a
    `Dispatch`, or ended by `Refused`, `Expired` or `withdraw`.
    """

    __slots__ = (
        "_failures",
        "_fleet",
        "_heard_at",
        "_journal",
        "_lengths",
        "_pools_by_key",
        "_prefixes",
        "_queues_by_key",
        "_running_by_request",
        "_shares",
        "_ticked_at",
    )

    def __init__(self):
        self._failures = FailureDecider()
        self._fleet: tuple | None = None
        # When any target was heard; None before the first load report, since
        # without these a quiet host hears nobody although all is well.
        self._heard_at: float | None = None
        self._journal = Journal()
        self._lengths = LengthEstimate()
        self._pools_by_key: dict[PoolKey, Pool] = {}
        self._prefixes = PrefixIndex()
        self._queues_by_key: dict[PoolKey, WorkQueue] = {}
        self._running_by_request: dict[str, Running] = {}
        self._shares = HeldShares()
        self._ticked_at: float | None = None

    def set_fleet(
        self,
        targets: Sequence[Target],
        links: Sequence[Link],
        zone: str,
        entry_hosts: int,
        now: float,
    ) -> None:
        """Replace the view of targets and links; ``entry_hosts`` share them.

        A fleet equal to the present one costs a comparison only.
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
        """Take in a target's lagging load report."""
        self._heard_at = now
        for pool in self._pools_by_key.values():
            pool.observe(report, now)

    def observe_cache(self, event: CacheEvent, now: float) -> None:
        """Take in a target's late cache event."""
        self._prefixes.observe(event, now)

    def target_leaving(self, target_id: str, now: float) -> None:
        """Give a target no new work until it comes back as a new incarnation."""
        for pool in self._pools_by_key.values():
            pool.leave(target_id)

    def offer(self, work: Work, now: float) -> Queued | Refused:
        """Admit or refuse new work."""
        key = work.kind, work.model
        pool = self._pools_by_key.get(key)
        if pool is None or not pool.served:
            retry = spread_retry(work, NO_TARGET_RETRY_S)
            return self._refuse(
                work, fault(ResultCode.NO_TARGET, work.model, retry), now
            )
        queue = self._queues_by_key.get(key)
        if queue is None:
            queue = self._queues_by_key[key] = WorkQueue()
        cost = self._lengths.expected_cost(work)
        lane = lane_for(cost)
        light = self._shares.is_light(work.workspace, cost)
        told = engine_priority(work.priority, lane, light)
        run_s = self._run_s(pool, work, cost, told)
        ahead = queue.ahead_of(work, cost, lane) if len(queue) else 0.0
        forecast = Forecast(ahead / pool.drain_tps, run_s, len(queue), False)
        problem = judge(work, forecast, now)
        if problem is not None and queue.over_share(work):
            problem = judge(work, replace(forecast, over_share=True), now)
        if problem is not None:
            return self._refuse(work, problem, now)
        latest_start = work.deadline - pool.paces.at(told).cautious_s(cost)
        queue.push(Entry(work, cost, latest_start, lane))
        self._shares.begin(work.workspace, cost)
        self._journal.note(work.request_id, Note(now, "queued", f"{ahead:.0f} ahead"))
        return Queued(work.request_id)

    def withdraw(self, request_id: str, now: float) -> bool:
        """Take work out of the queue; False if it is not in it (any more)."""
        for queue in self._queues_by_key.values():
            entry = queue.withdraw(request_id)
            if entry is not None:
                self._shares.end(entry.work.workspace, entry.cost)
                self._journal.note(request_id, Note(now, "withdrawn"))
                return True
        return False

    def take(self, now: float) -> list[Dispatch | Expired]:
        """Return the work to start or to end now; each entry comes once."""
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
        times = [pool.ejector.next_return() for pool in self._pools_by_key.values()]
        for queue in self._queues_by_key.values():
            if len(queue):
                times += [queue.next_expiry(), now + TICK_S]
        return min((at for at in times if at is not None), default=None)

    def progressed(self, request_id: str, position: int, now: float) -> None:
        """Note that the token at a position, from 0, was committed."""
        running = self._running_by_request.get(request_id)
        if running is None:
            return
        if self._heard_at is not None:
            self._heard_at = now
        running.pool.drain.passed(running.advance(position, now))
        token_s = running.sample_token_s()
        if token_s is not None:
            running.pool.learn_token(
                running.claim, running.dispatch.engine_priority, token_s
            )

    def ended(self, request_id: str, finished: bool, now: float) -> None:
        """Note that running work has ended and frees what it held."""
        running = self._running_by_request.pop(request_id, None)
        if running is None:
            return
        running.release()
        self._shares.end(running.dispatch.work.workspace, running.cost)
        self._journal.note(request_id, Note(now, "finished" if finished else "ended"))
        work, pool = running.dispatch.work, running.pool
        if work.kind is TargetKind.SERVICE:
            running.pool.drain.passed(1)
        if running.tells_pace():
            # Work cut at its deadline counts too: it is the slow part.
            told = running.dispatch.engine_priority
            seconds = now - running.started_at
            pool.paces.learn(told, seconds, running.cost_so_far())
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
        """Tell whether another attempt could take a silent one's place now.

        If none could, the attempt has to go on.  `failed` will not hear of the
        silence then, so it is counted against the target here.  A host that
        heard no target at all meanwhile is out of reach itself: that says
        nothing about this target, and a start at another one would be lost.

        Parameters
        ----------
        since : float
            When the attempt's last connection was begun.
        """
        running = self._running_by_request[failure.request_id]
        quiet_from = max(since, running.last_at)
        if self._heard_at is not None and self._heard_at <= quiet_from:
            return False
        return self._failures.may_replace(running, failure, now)

    def explain(self, request_id: str) -> tuple[Note, ...]:
        """Return what was decided on a recent request, in order."""
        return self._journal.notes(request_id)

    def snapshot(self, now: float) -> Snapshot:
        """Return the present state for status pages and metrics."""
        return view_of(
            self._pools_by_key, self._queues_by_key, len(self._running_by_request)
        )

    def _run_s(self, pool: Pool, work: Work, cost: float, told: Priority) -> float:
        """Return a cautious run, on the quickest targets if it has to be."""
        spread = self._lengths.relative_spread(work)
        run_s = pool.paces.at(told).cautious_s(cost, spread)
        if run_s <= work.deadline - work.arrived:
            return run_s
        quickest_s = pool.quickest_s * pool.paces.factor(told) * cost
        return min(run_s, quickest_s * (QUICKEST_MARGIN + spread))

    def _refuse(self, work: Work, problem, now: float) -> Refused:
        refused = Refused(problem)
        self._journal.note(work.request_id, Note(now, "refused", problem.detail))
        return refused

    def _expire(
        self, pool: Pool, queue: WorkQueue, entry: Entry, now: float
    ) -> Expired:
        # What waits now has to leave before a new try would start.
        retry = spread_retry(entry.work, queue.backlog() / pool.drain_tps)
        detail = "can no longer finish on time"
        problem = fault(ResultCode.EXPIRED_IN_QUEUE, detail, retry)
        self._shares.end(entry.work.workspace, entry.cost)
        self._journal.note(entry.work.request_id, Note(now, "expired"))
        return Expired(entry.work, problem)

    def _start_waiting(
        self,
        pool: Pool,
        queue: WorkQueue,
        taken: list[Dispatch | Expired],
        now: float,
    ) -> None:
        """Dispatch what has room, the highest priority first.

        Once short work of a priority finds no room, nothing below it is tried:
        it would take the next place that frees.
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
                told = self._told(entry)
                claim = self._claim_first(pool, entry, told, now)
                if claim is None:
                    blocked.add(entry.lane)
                    continue
                queue.pop(entry)
                if _too_late(claim, entry, pool.paces.factor(told), now):
                    taken.append(self._expire(pool, queue, entry, now))
                else:
                    taken.append(self._start(pool, entry, claim, told, now))
            if Lane.SHORT in blocked:
                return

    def _claim_first(
        self, pool: Pool, entry: Entry, told: Priority, now: float
    ) -> Claim | None:
        preferred: frozenset[str] = frozenset()
        if entry.work.prefix_key:
            holders = self._prefixes.holders(entry.work.prefix_key, now)
            preferred = pool.within_load_bound(holders)
        # Work that is short of time gets the quickest targets with room.
        left_s = entry.work.deadline - now
        fast = left_s < pool.paces.at(told).cautious_s(entry.cost)
        return pool.pick(entry.lane is Lane.LONG, preferred=preferred, fast=fast)

    def _told(self, entry: Entry) -> Priority:
        light = self._shares.is_light(entry.work.workspace)
        return engine_priority(entry.work.priority, entry.lane, light)

    def _start(
        self, pool: Pool, entry: Entry, claim: Claim, told: Priority, now: float
    ) -> Dispatch:
        work = entry.work
        dispatch = Dispatch(work, 1, claim.route, claim.target, "least loaded", told)
        pool.begin(claim)
        self._running_by_request[work.request_id] = Running(
            pool, dispatch, claim, now, entry.cost
        )
        self._failures.count_request(now)
        held = [load.target.id for load in claim.loads]
        if work.prefix_key:
            self._prefixes.note_sent(work.prefix_key, held, now)
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


def _too_late(claim: Claim, entry: Entry, factor: float, now: float) -> bool:
    """Tell whether work would probably end late on the places found for it."""
    run_s = claim.expected_s * factor * entry.cost * START_MARGIN
    return now + run_s > entry.work.deadline
