"""What this host knows of the store's eras, and who hears of a new one."""

from collections.abc import Callable

import trio
from expression import Result

from radishfield.core import Clock, Fault
from radishfield.routing import EraNews, StoreEra
from radishfield.telemetry import log_event


class EraMonitor:
    """Keeps the newest era of the store, from its answers and from other hosts.

    Attributes
    ----------
    changed : trio.Event
        Set, and replaced, when the store has come back in another era.
    on_change : list of callable
        Called then, before the event is set.
    """

    __slots__ = ("_clock", "_era", "_problem", "changed", "on_change")

    def __init__(self, clock: Clock):
        self._clock = clock
        self._era = StoreEra()
        self._problem = ""
        self.changed = trio.Event()
        self.on_change: list[Callable[[], None]] = []

    @property
    def known(self) -> int:
        """Return the newest era; 0 if none is known."""
        return self._era.known

    @property
    def has_returned(self) -> bool:
        """Return whether the store came back from a copy at least once."""
        return self.known > 1

    @property
    def older_answers(self) -> int:
        """Return how many answers of older eras were left out."""
        return self._era.older_answers

    def changed_s(self) -> float:
        """Return the seconds since this host learned of a new era; may be infinite."""
        return self._clock.now() - self._era.changed_at

    def accepts(self, named: Result[int | None, Fault]) -> bool:
        """Take in the era that an answer names; return whether the answer counts.

        An answer that names none, or one that can't be read, counts as one of the era
        that is known.
        """
        if named.is_error():
            self._log_unreadable(named.error)
            return True
        before = self.known
        news = self._era.note_answer(named.ok, self._clock.now())
        if news is EraNews.OLDER:
            log_event("store.older_answer", era=named.ok, known=before)
        self._apply(news, before, "store")
        return news is not EraNews.OLDER

    def hear(self, era: int, host_id: str) -> None:
        """Take in the era that another host knows."""
        before = self.known
        news = self._era.note_peer(era, self._clock.now())
        self._apply(news, before, host_id)

    def _apply(self, news: EraNews, before: int, source: str) -> None:
        if news not in (EraNews.FIRST, EraNews.CHANGED):
            return
        log_event("store.era", era=self.known, before=before, source=source)
        if news is EraNews.FIRST:
            return
        for call in self.on_change:
            call()
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    def _log_unreadable(self, problem: Fault) -> None:
        if problem.detail != self._problem:
            self._problem = problem.detail
            log_event(
                "store.era_unreadable",
                code=int(problem.code),
                detail=problem.detail,
                known=self.known,
            )
