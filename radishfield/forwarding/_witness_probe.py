"""Tells a host that hears late from a target that does not answer.

Load pattern: a large configuration takes a host's link for a third of a second, or its
decoding the event loop.  Whatever targets sent meanwhile lies behind it, and all of
them seem silent.  So silence counts only once another target, asked later, has
answered: its answer came over the same link to the same loop.
"""

import trio

from radishfield.forwarding._targets import Targets
from radishfield.forwarding._view import RouterView
from radishfield.routing import TargetRecord


class _Round:
    """One question to a few targets, and what came of it."""

    __slots__ = ("asked_at", "done", "heard", "target_ids")

    def __init__(self, asked_at: float, target_ids: set[str]):
        self.asked_at = asked_at
        self.target_ids = target_ids
        self.heard = False
        self.done = trio.Event()


class WitnessProbe:
    """Asks targets that are not in doubt; questions of one moment share the answer."""

    __slots__ = ("_round", "_targets", "_view")

    def __init__(self, targets: Targets, view: RouterView):
        self._targets = targets
        self._view = view
        self._round: _Round | None = None

    async def hears(
        self, target_id: str, asked_at: float, doubted: set[str], nursery: trio.Nursery
    ) -> bool:
        """Return whether another target answers a later question.

        Parameters
        ----------
        target_id : str
            The target that has not answered yet.
        asked_at : float
            When it was asked.
        doubted : set of str
            Targets that are being asked themselves; only asked if there is no other.
        nursery : trio.Nursery
            Outlives the caller, whose target may answer first.
        """
        current = self._round
        if (
            current is None
            or current.asked_at < asked_at
            or target_id in current.target_ids
        ):
            records = self._choose(target_id, doubted)
            current = _Round(self._view.clock.now(), {item.id for item in records})
            self._round = current
            nursery.start_soon(self._ask_all, current, records)
        await current.done.wait()
        return current.heard

    def _choose(self, target_id: str, doubted: set[str]) -> list[TargetRecord]:
        """Return a target of the own zone and one of another, where there are.

        The targets of a whole zone may be lost at once.
        """
        view, now = self._view, self._view.clock.now()
        others = [
            record
            for record in view.directory.all_records()
            if record.span is not None
            and record.id != target_id
            and not view.directory.suspected(record.id, now)
        ]
        view.chance.shuffle(others)
        others.sort(key=lambda item: item.id in doubted)
        near = [record for record in others if record.zone == view.zone]
        far = [record for record in others if record.zone != view.zone]
        return near[:1] + far[:1] if near and far else others[:2]

    async def _ask_all(self, current: _Round, records: list[TargetRecord]) -> None:
        try:
            async with trio.open_nursery() as nursery:
                for record in records:
                    nursery.start_soon(self._ask, current, record)
        finally:
            current.done.set()

    async def _ask(self, current: _Round, record: TargetRecord) -> None:
        report = await self._targets.report(record)
        if report.is_ok():
            current.heard = True
            current.done.set()
