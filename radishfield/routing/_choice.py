"""Which target of a plain service takes a request.

Load pattern: a few targets with few places each, one of which turns slow, refuses
or dies, while every host sees only its own part of the load.  The share of places
in use decides, own zone first among equals; without the zone's part requests cross
zones for nothing, and without the load a slow target would fill while others idle.
Failures count as places in use for a while, so that a target that fails quickly
does not look like the idlest of all.
"""

import random
from collections.abc import Collection, Sequence

import msgspec

from radishfield.routing._load import LoadTable
from radishfield.routing._types import TargetRecord

OTHER_ZONE = 0.15
"""Share of places that a target of another zone must have more free to be taken."""

FAILURE_COST = 0.5
"""A target that failed all of its last requests looks half full beside an idle
one: it still gets a request where the others are busy, and so can recover."""

MEMORY = 0.7
"""Weight of the past in a target's share of failures: the last five or so count."""

MIN_LEFT_OUT = 0.6
"""Share of failures from which on a target is taken only if no other is left."""


class FailureRates(msgspec.Struct):
    """Share of failed requests by target, the last ones first."""

    _share_by_id: dict[str, float] = msgspec.field(default_factory=dict)

    def note(self, target_id: str, failed: bool) -> None:
        """Count one request's end."""
        before = self._share_by_id.get(target_id, 0.0)
        self._share_by_id[target_id] = before * MEMORY + failed * (1 - MEMORY)

    def share(self, target_id: str) -> float:
        """Return the share of failures, from 0 to 1."""
        return self._share_by_id.get(target_id, 0.0)


def choose_target(
    records: Sequence[TargetRecord],
    load: LoadTable,
    failures: FailureRates,
    zone: str,
    tried: Collection[str],
    chance: random.Random,
) -> TargetRecord | None:
    """Return the target with the most room that was not tried yet."""
    fresh = [record for record in records if record.id not in tried]
    sound = [item for item in fresh if failures.share(item.id) < MIN_LEFT_OUT]
    pool = sound or fresh
    if not pool:
        return None

    def cost(record: TargetRecord) -> float:
        used = load.held(record.id).requests / max(1, record.slots)
        far = OTHER_ZONE if record.zone != zone else 0.0
        return used + far + FAILURE_COST * failures.share(record.id)

    return min(pool, key=lambda record: (cost(record), chance.random()))
