"""The decisions composed: one object that a dispatcher or a bench drives.

This first version admits everything, keeps one queue in order of arrival and
takes the first chain of live targets that covers the model.
"""

from collections import OrderedDict
from collections.abc import Sequence

from radishfield.core import (
    LayerRange,
    Link,
    LoadReport,
    ResultCode,
    Route,
    Stage,
    Target,
    TargetKind,
    TargetState,
    fault,
)
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

MAX_ATTEMPTS = 4


class Scheduler:
    """Admission, queue, routes, limits, retries and recovery behind one face.

    Every method is a plain call: ``now`` is a `Clock` reading in seconds.
    Work passes exactly one way: offered, then either taken once as a
    `Dispatch`, or ended by `Refused`, `Expired` or `withdraw`.
    """

    __slots__ = (
        "_queue_by_request",
        "_targets_by_id",
        "_running_by_request",
        "_turn",
    )

    def __init__(self):
        self._queue_by_request: OrderedDict[str, Work] = OrderedDict()
        self._targets_by_id: dict[str, Target] = {}
        self._running_by_request: dict[str, Dispatch] = {}
        self._turn = 0

    def set_fleet(
        self,
        targets: Sequence[Target],
        links: Sequence[Link],
        zone: str,
        entry_hosts: int,
        now: float,
    ) -> None:
        """Replace the view of targets and links; ``entry_hosts`` share them."""
        self._targets_by_id = {target.id: target for target in targets}

    def observe_load(self, report: LoadReport, now: float) -> None:
        """Take in a target's lagging load report."""

    def offer(self, work: Work, now: float) -> Queued | Refused:
        """Admit or refuse new work."""
        if work.deadline <= now:
            return Refused(fault(ResultCode.DEADLINE_UNREACHABLE, "deadline is past"))
        if self._choose(work) is None:
            return Refused(fault(ResultCode.NO_TARGET, work.model, retry_after_s=1.0))
        self._queue_by_request[work.request_id] = work
        return Queued(work.request_id)

    def withdraw(self, request_id: str, now: float) -> bool:
        """Take work out of the queue; False if it is not in it (any more)."""
        return self._queue_by_request.pop(request_id, None) is not None

    def take(self, now: float) -> list[Dispatch | Expired]:
        """Return the work to start or to end now; each entry comes once."""
        taken: list[Dispatch | Expired] = []
        while self._queue_by_request:
            _, work = self._queue_by_request.popitem(last=False)
            taken.append(self._start(work, now))
        return taken

    def next_wakeup(self, now: float) -> float | None:
        """Return when `take` should be called again at the latest."""
        return None

    def progressed(self, request_id: str, position: int, now: float) -> None:
        """Note that a token of running work was committed."""

    def ended(self, request_id: str, finished: bool, now: float) -> None:
        """Note that running work has ended and frees what it held."""
        self._running_by_request.pop(request_id, None)

    def failed(self, failure: Failure, now: float) -> Retry | GiveUp:
        """Decide what follows an attempt's failure; does not end the work."""
        dispatch = self._running_by_request[failure.request_id]
        work = dispatch.work
        if failure.started and not work.idempotent:
            return GiveUp(fault(ResultCode.STREAM_BROKEN, failure.kind))
        if dispatch.attempt >= MAX_ATTEMPTS or work.deadline <= now:
            return GiveUp(fault(ResultCode.RETRIES_EXHAUSTED, failure.kind))
        chosen = self._choose(work, excluded=failure.target_id)
        if chosen is None:
            return GiveUp(fault(ResultCode.NO_TARGET, work.model))
        retry = Dispatch(work, dispatch.attempt + 1, *chosen)
        self._running_by_request[work.request_id] = retry
        return Retry(retry)

    def _start(self, work: Work, now: float) -> Dispatch | Expired:
        if work.deadline <= now:
            return Expired(work, fault(ResultCode.EXPIRED_IN_QUEUE))
        chosen = self._choose(work)
        if chosen is None:
            return Expired(work, fault(ResultCode.NO_TARGET, work.model))
        dispatch = Dispatch(work, 1, *chosen)
        self._running_by_request[work.request_id] = dispatch
        return dispatch

    def _choose(
        self, work: Work, excluded: str = ""
    ) -> tuple[Route | None, Target | None] | None:
        fitting = [
            target
            for target in self._targets_by_id.values()
            if target.model == work.model
            and target.kind is work.kind
            and target.state is TargetState.LIVE
            and target.id != excluded
        ]
        self._turn += 1
        if not fitting:
            return None
        if work.kind is TargetKind.SERVICE:
            return None, fitting[self._turn % len(fitting)]
        route = _cover(fitting, self._turn)
        return None if route is None else (route, None)


def _cover(targets: list[Target], turn: int) -> Route | None:
    """Return a chain of whole targets of one model version, or None."""
    version = targets[0].model_version
    model_layers = targets[0].model_layers
    stages: list[Stage] = []
    next_layer = 0
    while next_layer < model_layers:
        heads = [
            target
            for target in targets
            if target.layers.first == next_layer and target.model_version == version
        ]
        if not heads:
            return None
        head = heads[turn % len(heads)]
        stages.append(
            Stage(head.id, head.address, LayerRange(next_layer, head.layers.end))
        )
        next_layer = head.layers.end
    return Route(tuple(stages), targets[0].model, version, model_layers)
