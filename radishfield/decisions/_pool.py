"""The targets of one model, or one kind of service, with their work in flight."""

from collections.abc import Sequence
from operator import attrgetter

from radishfield.core import (
    Link,
    LoadReport,
    Priority,
    Target,
    TargetKind,
)
from radishfield.decisions._affinity import LOAD_BOUND
from radishfield.decisions._claims import Claim
from radishfield.decisions._ejection import Ejector
from radishfield.decisions._flow import FlowPlan, plan_flow, speed_of
from radishfield.decisions._limits import (
    HEADROOM,
    TargetLoad,
    full_step_s,
    littles_law_limit,
)
from radishfield.decisions._pace import DrainRate, TokenTimes
from radishfield.decisions._routes import Chooser, Crossing

INITIAL_TOKEN_S = 0.1
"""Assumed seconds for a token until the first plan or answer."""


class Pool:
    """Targets that can serve the same work, and what is learned about them.

    Attributes
    ----------
    full : bool
        Whether the last short work found no free capacity and none was freed
        since.
    served : bool
        Whether live targets cover the work at all.
    """

    __slots__ = (
        "kind",
        "token_times",
        "drain",
        "ejector",
        "bound_tps",
        "loads_by_id",
        "full",
        "mean_use",
        "quickest_s",
        "served",
        "_choosers",
        "_crossings_by_pair",
        "_hosts",
        "_links",
        "_zone",
        "_running_by_version",
    )

    def __init__(self, kind: TargetKind):
        self.kind = kind
        self.token_times = TokenTimes(INITIAL_TOKEN_S)
        self.drain = DrainRate()
        self.ejector = Ejector()
        self.bound_tps = 0.0
        self.loads_by_id: dict[str, TargetLoad] = {}
        self.full = False
        self.mean_use = 0.0
        self.served = False
        self.quickest_s = INITIAL_TOKEN_S
        self._choosers: list[Chooser] = []
        self._crossings_by_pair: dict[tuple[str, str], Crossing] = {}
        self._hosts = 1
        self._links: Sequence[Link] = ()
        self._zone = ""
        self._running_by_version: dict[str, int] = {}

    @property
    def host_tps(self) -> float:
        """Return this host's even share of the bound, in tokens per second."""
        return self.bound_tps / self._hosts

    @property
    def drain_tps(self) -> float:
        """Return the tokens per second that leave this host's queue."""
        return self.drain.tps(self.host_tps)

    def set_targets(
        self, targets: Sequence[Target], links: Sequence[Link], zone: str, hosts: int
    ) -> None:
        """Replace the targets, keeping what was learned about those that stay."""
        self._links, self._zone, self._hosts = links, zone, max(1, hosts)
        previous = self.loads_by_id
        self.loads_by_id = {}
        new_loads = []
        for target in targets:
            load = previous.get(target.id)
            if load is None or load.target.incarnation != target.incarnation:
                load = TargetLoad(target)
                new_loads.append(load)
            load.update_target(target)
            self.loads_by_id[target.id] = load
        self.ejector.keep_only(set(self.loads_by_id))
        self.replan()
        for load in new_loads:
            if previous:
                load.start_at_low_weight()
            else:
                load.start_at_full_weight()

    def replan(self) -> None:
        """Recompute flow, weights and limits; only for fleet changes."""
        self.full = False
        active = [
            load
            for load in self.loads_by_id.values()
            if load.usable and not load.ejected
        ]
        if self.kind is TargetKind.SERVICE:
            self._replan_service(active)
        else:
            self._replan_engine(active)
        zones = len({load.target.zone for load in active}) or 1
        for load in self.loads_by_id.values():
            load.set_host_counts(self._hosts, self._hosts / zones)
        self.served = self.covered()
        if not self.served:
            self.end_ejections()

    def end_ejections(self, version: str | None = None) -> bool:
        """Readmit every ejected target, where only ejected ones can serve.

        An ejection is right while other targets do the work.  Once those leave,
        keeping it would refuse every request although a target is there that
        may well work again.  At worst that target fails requests that would
        have been refused.

        Parameters
        ----------
        version : str or None
            The only model version that can serve, if others cannot.

        Returns
        -------
        bool
            Whether any was readmitted.
        """
        target_ids = [
            load.target.id
            for load in self.loads_by_id.values()
            if load.usable
            and load.ejected
            and version in (None, load.target.model_version)
        ]
        if target_ids:
            self.ejector.release(target_ids)
            self.readmit(target_ids)
        return bool(target_ids)

    def pick(
        self,
        long: bool,
        excluded: frozenset[str] = frozenset(),
        preferred: frozenset[str] = frozenset(),
        forced: bool = False,
        fast: bool = False,
        version: str | None = None,
    ) -> Claim | None:
        """Return a claim for one attempt, or None if there is no free capacity.

        Parameters
        ----------
        version : str or None
            The model version to stay with, since only that version can continue
            from tokens that it made.
        """
        if self.full and not forced:
            return None
        if self.kind is TargetKind.SERVICE:
            claim = self._pick_service(long, excluded, forced)
        else:
            claim = self._pick_route(long, excluded, preferred, forced, fast, version)
        self.full = claim is None and not long and not excluded
        return claim

    def _pick_route(
        self,
        long: bool,
        excluded: frozenset[str],
        preferred: frozenset[str],
        forced: bool,
        fast: bool,
        version: str | None,
    ) -> Claim | None:
        choosers = [
            chooser
            for chooser in self._choosers
            if version is None or chooser.model_version == version
        ]
        if len(choosers) > 1:
            choosers = sorted(choosers, key=self._version_load)
        for chooser in choosers:
            chain = chooser.choose(long, excluded, preferred, forced, fast)
            if chain is not None:
                return Claim(
                    tuple(chain),
                    tuple(chooser.crossings_of(chain)),
                    long,
                    sum(full_step_s(load.target) for load in chain),
                    sum(load.stage_s for load in chain),
                    route=chooser.route(chain),
                )
        return None

    def _version_load(self, chooser: Chooser) -> float:
        running = self._running_by_version.get(chooser.model_version, 0)
        return (running + 1) / chooser.bound_tps

    def begin(self, claim: Claim) -> None:
        """Count a claim as in flight."""
        self._count(claim, 1)
        for load in claim.loads:
            load.begin(claim.long)

    def end(self, claim: Claim) -> None:
        """Release a claim."""
        self.full = False
        self._count(claim, -1)
        for load in claim.loads:
            load.end(claim.long)

    def learn_token(self, claim: Claim, priority: Priority, token_s: float) -> None:
        """Learn from the seconds that a token of an attempt took."""
        expected_s = sum(load.stage_s for load in claim.loads)
        expected_s *= self.token_times.factor(priority)
        error = token_s / max(expected_s, 1e-9) - 1
        ratio = token_s / max(claim.token_s, 1e-9)
        for load in claim.loads:
            load.learn_stage(error)
            self.ejector.answered(load.target.id, ratio)

    def leave(self, target_id: str) -> None:
        """Send a target no new work until it comes back."""
        load = self.loads_by_id.get(target_id)
        if load is not None and not load.left:
            load.leave()
            self.replan()

    def observe(self, report: LoadReport, now: float) -> None:
        """Apply a load report, if it is of the current incarnation."""
        load = self.loads_by_id.get(report.target_id)
        if load is None or report.incarnation != load.target.incarnation:
            return
        self.full = False
        load.observe(report, now)
        if report.leaving:
            self.leave(report.target_id)

    def covered(self, excluded: frozenset[str] = frozenset()) -> bool:
        """Tell whether live targets can serve the work at all, full or not."""
        if self.kind is TargetKind.SERVICE:
            return any(
                load.usable and load.target.id not in excluded
                for load in self.loads_by_id.values()
            )
        return any(chooser.covered(excluded) for chooser in self._choosers)

    def eject(self, target_id: str) -> bool:
        """Exclude a target, unless no other can replace it."""
        load = self.loads_by_id.get(target_id)
        if load is None or not self.covered(self._ejected() | {target_id}):
            return False
        load.allow(load.usable, True)
        self.replan()
        return True

    def readmit(self, target_ids: list[str]) -> None:
        """Readmit ejected targets, with a small weight."""
        returned = [self.loads_by_id[i] for i in target_ids if i in self.loads_by_id]
        for load in returned:
            load.allow(load.usable, False)
        if returned:
            self.replan()
        for load in returned:
            load.start_at_low_weight()

    def tick(self, elapsed_s: float, now: float) -> None:
        """Update weights and drop stale reports; once a second is enough."""
        self.full = False
        uses = []
        for load in self.loads_by_id.values():
            load.shift_weight(elapsed_s)
            load.forget_stale_report(now)
            uses.append(load.use)
        self.mean_use = sum(uses) / len(uses) if uses else 0.0
        self._update_quickest()

    def _update_quickest(self) -> None:
        if self.kind is TargetKind.SERVICE:
            self.quickest_s = self.token_times.overall.mean_s
            return
        times = [chooser.quickest_s() for chooser in self._choosers]
        self.quickest_s = min(times, default=INITIAL_TOKEN_S)

    def within_load_bound(self, target_ids: Sequence[str]) -> frozenset[str]:
        """Return those targets that affinity may prefer at their current load."""
        bound = LOAD_BOUND * self.mean_use
        candidates = set()
        for target_id in target_ids:
            load = self.loads_by_id.get(target_id)
            if load is not None and load.has_room(False):
                if load.own <= bound * load.share + 1:
                    candidates.add(target_id)
        return frozenset(candidates)

    def _ejected(self) -> frozenset[str]:
        return frozenset(i for i, load in self.loads_by_id.items() if load.ejected)

    def _count(self, claim: Claim, change: int) -> None:
        if claim.route is not None:
            version = claim.route.model_version
            counts = self._running_by_version
            counts[version] = counts.get(version, 0) + change
        for crossing in claim.crossings:
            crossing.own += change

    def _replan_service(self, active: list[TargetLoad]) -> None:
        for load in active:
            load.goal = speed_of(load.target)
        self.bound_tps = sum(load.goal for load in active)

    def _replan_engine(self, active: list[TargetLoad]) -> None:
        loads_by_version: dict[str, list[TargetLoad]] = {}
        for load in active:
            loads_by_version.setdefault(load.target.model_version, []).append(load)
        self._choosers = []
        self.bound_tps = 0.0
        for loads in loads_by_version.values():
            plan = plan_flow(
                [load.target for load in loads], self._links, self._zone, {}
            )
            if plan.bound_tps > 0:
                self._add_plan(plan, loads)

    def _add_plan(self, plan: FlowPlan, loads: list[TargetLoad]) -> None:
        cycle_s = _cycle_s(plan, loads)
        self.bound_tps += plan.bound_tps
        self.token_times.reset_initial(cycle_s * HEADROOM)
        for load in loads:
            load.goal = plan.weight_by_target[load.target.id]
            load.resize(littles_law_limit(load.goal, cycle_s))
        self._set_crossings(cycle_s)
        self._choosers.append(
            Chooser(
                loads, self._links, self._zone, plan.bound_tps, self._crossings_by_pair
            )
        )

    def _set_crossings(self, cycle_s: float) -> None:
        for link in self._links:
            if link.from_zone == link.to_zone:
                continue
            pair = link.from_zone, link.to_zone
            crossing = self._crossings_by_pair.setdefault(pair, Crossing(0.0))
            crossing.limit = littles_law_limit(link.tokens_per_s, cycle_s) / self._hosts

    def _pick_service(
        self, long: bool, excluded: frozenset[str], forced: bool
    ) -> Claim | None:
        candidates = [
            load
            for load in self.loads_by_id.values()
            if load.target.id not in excluded
            and (load.has_room(False) or (forced and load.usable))
        ]
        if not candidates:
            return None
        load = min(candidates, key=attrgetter("score"))
        return Claim(
            (load,),
            (),
            long,
            full_step_s(load.target),
            self.token_times.overall.mean_s,
            target=load.target,
        )


def _cycle_s(plan: FlowPlan, loads: list[TargetLoad]) -> float:
    """Return the mean seconds that a token takes through all stages."""
    weighted_s = sum(
        plan.weight_by_target[load.target.id] * full_step_s(load.target)
        for load in loads
    )
    return weighted_s / plan.bound_tps
