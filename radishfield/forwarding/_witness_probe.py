"""Distinguishes a target that does not answer from a host that receives late.

A large configuration can occupy a host's link, or its decoding the event loop, for a
third of a second.  Messages from targets queue up behind it, and all targets seem
silent.  A missing answer therefore counts only after another target, probed later, has
answered: that answer came over the same link to the same event loop.
"""

import trio

from radishfield.forwarding._targets import Targets
from radishfield.forwarding._view import RouterView
from radishfield.routing import TargetRecord


class _Round:
    """One probe of a few targets, and whether any of them answered."""

    __slots__ = ("sent_at", "done", "answered", "target_ids")

    def __init__(self, sent_at: float, target_ids: set[str]):
        self.sent_at = sent_at
        self.target_ids = target_ids
        self.answered = False
        self.done = trio.Event()


class WitnessProbe:
    """Probes targets that are not suspected; simultaneous requests share one round."""

    __slots__ = ("_round", "_targets", "_view")

    def __init__(self, targets: Targets, view: RouterView):
        self._targets = targets
        self._view = view
        self._round: _Round | None = None

    async def another_answers(
        self,
        target_id: str,
        sent_at: float,
        probed_ids: set[str],
        nursery: trio.Nursery,
    ) -> bool:
        """Return whether another target answers a probe sent later.

        Parameters
        ----------
        target_id : str
            The target that has not answered yet.
        sent_at : float
            When it was probed.
        probed_ids : set of str
            Targets that are being probed themselves; used only if there is no other.
        nursery : trio.Nursery
            Runs the probes; outlives the caller, whose target may answer first.
        """
        current = self._round
        if (
            current is None
            or current.sent_at < sent_at
            or target_id in current.target_ids
        ):
            records = self._choose(target_id, probed_ids)
            current = _Round(self._view.clock.now(), {item.id for item in records})
            self._round = current
            nursery.start_soon(self._query_all, current, records)
        await current.done.wait()
        return current.answered

    def _choose(self, target_id: str, probed_ids: set[str]) -> list[TargetRecord]:
        """Return one target of the host's zone and one of another zone, if available.

        All targets of a zone may become unreachable at once.
        """
        view, now = self._view, self._view.clock.now()
        others = [
            record
            for record in view.rests.awake(view.directory.all_records(), now)
            if record.span is not None
            and record.id != target_id
            and not view.directory.suspected(record.id, now)
        ]
        view.rng.shuffle(others)
        others.sort(key=lambda item: item.id in probed_ids)
        near = [record for record in others if record.zone == view.zone]
        far = [record for record in others if record.zone != view.zone]
        return near[:1] + far[:1] if near and far else others[:2]

    async def _query_all(self, current: _Round, records: list[TargetRecord]) -> None:
        try:
            async with trio.open_nursery() as nursery:
                for record in records:
                    nursery.start_soon(
                        self._view.boundary.run,
                        "witness.query",
                        record.id,
                        self._query,
                        current,
                        record,
                    )
        finally:
            current.done.set()

    async def _query(self, current: _Round, record: TargetRecord) -> None:
        report = await self._targets.report(record)
        if report.is_ok():
            current.answered = True
            current.done.set()
