"""Choice of the target of a plain service that takes a request.

Such a service has a few targets with few slots each.  One of them may become slow,
refuse requests or crash, while every host sees only its own part of the load.  The
share of used slots decides, and among equals the host's own zone is preferred.  Without
the cost for other zones, requests would cross zones for nothing; without the load, a
slow target would fill up while others idle.  Where answer times are known, a slow one
costs what it lets callers wait longer than the fastest.  Failures count as used slots
for a while, so that a target that fails quickly does not look like the idlest of all.
"""

import random
from collections.abc import Collection, Mapping, Sequence

import msgspec

from radishfield.routing._load import LoadTable
from radishfield.routing._types import TargetRecord

OTHER_ZONE_COST = 0.15
"""Share of slots that a target of another zone must have more free to be chosen."""

FAILURE_COST = 0.5
"""A target that failed all of its last requests counts as half full beside an idle one:
it still gets a request when the others are busy, and so can recover."""

FAILURE_DECAY = 0.7
"""Weight of the past in a target's share of failures: about the last five requests
count."""

MIN_EXCLUDED_SHARE = 0.6
"""Share of failures from which a target is chosen only if no other is left."""


class FailureRates(msgspec.Struct):
    """Share of failed requests by target, with most weight on the latest ones.

    Attributes
    ----------
    elsewhere_by_id : dict
        Share of failures over all hosts, by target; it counts where it is larger.
    """

    elsewhere_by_id: dict[str, float] = msgspec.field(default_factory=dict)
    _share_by_id: dict[str, float] = msgspec.field(default_factory=dict)

    def note(self, target_id: str, failed: bool) -> None:
        """Count the outcome of one request."""
        before = self._share_by_id.get(target_id, 0.0)
        self._share_by_id[target_id] = before * FAILURE_DECAY + failed * (
            1 - FAILURE_DECAY
        )

    def share(self, target_id: str) -> float:
        """Return the share of failures, from 0 to 1."""
        own = self._share_by_id.get(target_id, 0.0)
        return max(own, self.elsewhere_by_id.get(target_id, 0.0))


def choose_target(
    records: Sequence[TargetRecord],
    load: LoadTable,
    failures: FailureRates,
    zone: str,
    tried: Collection[str],
    rng: random.Random,
    extra_cost_by_incarnation: Mapping[tuple[str, int], float] | None = None,
) -> TargetRecord | None:
    """Return the target with the most free capacity that was not tried yet.

    Parameters
    ----------
    extra_cost_by_incarnation : mapping, optional
        What targets cost beyond their use, in shares of their slots: by their answer
        times, and by what they should hold.
    """
    extra_cost = extra_cost_by_incarnation or {}
    untried = [record for record in records if record.id not in tried]
    healthy = [item for item in untried if failures.share(item.id) < MIN_EXCLUDED_SHARE]
    pool = healthy or untried
    if not pool:
        return None

    def cost(record: TargetRecord) -> float:
        used = load.held(record.id).requests / max(1, record.slots)
        zone_cost = OTHER_ZONE_COST if record.zone != zone else 0.0
        cost = used + zone_cost + extra_cost.get(record.incarnation, 0.0)
        return cost + FAILURE_COST * failures.share(record.id)

    return min(pool, key=lambda record: (cost(record), rng.random()))
