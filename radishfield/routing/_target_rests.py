"""Keeps requests from targets that have asked this host for a rest.

A target that refuses a request for lack of time may say for how long it wants nothing
from the host.  What arrives meanwhile costs it time that its other work lacks.  The
rest holds for this host only: the target may still have time for the work of others.
"""

import math
import re
from collections.abc import Iterable

import msgspec

from radishfield.routing._types import TargetRecord

MAX_REST_S = 60.0
"""Longest rest that is granted, so that a mistake of a target does not lose it for
hours."""
FIRST_TRY_S = 0.5
"""Time after a rest in which one request shows whether the target takes work again.
Without it all waiting requests would go there in the same moment."""
UNREADABLE_REST_S = 1.0
"""Rest of a target that asks for one of a length that can't be read."""
MAX_KNOWN = 4096
"""Targets whose rests are kept: several times those of a large fleet."""

_SECONDS = re.compile(r"[0-9]{1,12}(\.[0-9]{0,12})?|\.[0-9]{1,12}", re.ASCII)


class _Rest(msgspec.Struct):
    until: float
    tried_at: float = -math.inf
    probed: bool = False


def parse_rest_s(text: str) -> float | None:
    """Return the rest that a target names, in seconds; None if it can't be read.

    Parameters
    ----------
    text : str
        Decimal numbers, separated by commas; the longest one counts.
    """
    named = [item.strip() for item in text.split(",")]
    readable = [float(item) for item in named if _SECONDS.fullmatch(item)]
    return min(max(readable), MAX_REST_S) if readable else None


class TargetRests(msgspec.Struct):
    """The rests that targets have asked this host for, by their incarnations."""

    _rest_by_incarnation: dict[tuple[str, int], _Rest] = msgspec.field(
        default_factory=dict
    )

    def begin(self, record: TargetRecord, rest_s: float, now: float) -> bool:
        """Record a rest; return whether the target was not resting before."""
        before = self._rest_by_incarnation.pop(record.incarnation, None)
        until = now + rest_s
        if before is not None and before.until > until:
            # Refusals of several requests may be read in another order.
            before.tried_at = -math.inf
            self._rest_by_incarnation[record.incarnation] = before
            return False
        while len(self._rest_by_incarnation) >= MAX_KNOWN:
            del self._rest_by_incarnation[next(iter(self._rest_by_incarnation))]
        self._rest_by_incarnation[record.incarnation] = _Rest(until)
        return before is None or before.until <= now

    def is_resting(self, record: TargetRecord, now: float) -> bool:
        """Return whether a target gets no request now.

        After its rest it gets one, and others once that one was not refused.
        """
        rest = self._rest_by_incarnation.get(record.incarnation)
        return rest is not None and now < max(rest.until, rest.tried_at + FIRST_TRY_S)

    def any_rests(self, now: float) -> bool:
        """Return whether some target is resting."""
        return any(now < rest.until for rest in self._rest_by_incarnation.values())

    def take(self, record: TargetRecord, now: float) -> bool:
        """Note that a request is sent to a target; return False if it is resting."""
        if self.is_resting(record, now):
            return False
        rest = self._rest_by_incarnation.get(record.incarnation)
        if rest is not None:
            rest.tried_at = now
        return True

    def note_accepted(self, record: TargetRecord, now: float) -> None:
        """Note that a target took a request; its rest ends if its time is over."""
        rest = self._rest_by_incarnation.get(record.incarnation)
        if rest is not None and now >= rest.until:
            del self._rest_by_incarnation[record.incarnation]

    def allows_probe(self, record: TargetRecord, now: float) -> bool:
        """Return whether a target may be probed: while it rests, once."""
        rest = self._rest_by_incarnation.get(record.incarnation)
        return rest is None or now >= rest.until or not rest.probed

    def take_probe(self, record: TargetRecord, now: float) -> bool:
        """Note that a target is probed; return False if it may not be."""
        if not self.allows_probe(record, now):
            return False
        rest = self._rest_by_incarnation.get(record.incarnation)
        if rest is not None and now < rest.until:
            rest.probed = True
        return True

    def left_s(self, record: TargetRecord, now: float) -> float:
        """Return the time until a target gets requests again; 0 if it does now."""
        rest = self._rest_by_incarnation.get(record.incarnation)
        return 0.0 if rest is None else max(0.0, rest.until - now)

    def awake(self, records: Iterable[TargetRecord], now: float) -> list[TargetRecord]:
        """Return the targets that are not resting."""
        return [record for record in records if not self.is_resting(record, now)]
