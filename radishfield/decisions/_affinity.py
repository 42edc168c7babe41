"""Which targets probably hold a prompt's prefix in their cache.

Load pattern: a few prefixes (a registry's review template, a station's notice
template) begin most prompts.  A target that has run one skips its prefill.  But
sending a popular prefix always to the same target makes that one the
bottleneck, so affinity applies only under a load bound.

Cache events come late and with gaps.  A lost "stored" costs a chance; a lost
"dropped" costs one ordinary prefill.  So entries simply age, and after a gap in
a target's sequence what was known of it before is no longer used.
"""

from collections import OrderedDict

from radishfield.core import CacheEvent

MAX_PREFIXES = 20_000
"""Prefixes remembered: a few MB, and more than the engines' memory holds."""

TTL_S = 120.0
"""Engines drop what is unused; two minutes is short against their churn at full
load and long against the lag of events."""

LOAD_BOUND = 1.25
"""Times the mean use of its pool up to which a cached target is preferred
(consistent hashing with bounded loads uses the same figure)."""


class PrefixIndex:
    """Prefixes and the targets that ran or stored them, latest use last."""

    __slots__ = ("_noted_by_prefix", "_sequence_by_target", "_gap_by_target")

    def __init__(self):
        self._noted_by_prefix: OrderedDict[str, dict[str, float]] = OrderedDict()
        self._sequence_by_target: dict[str, int] = {}
        self._gap_by_target: dict[str, float] = {}

    def note_sent(self, prefix: str, target_ids: list[str], now: float) -> None:
        """Remember that a prompt with the prefix went to these targets."""
        noted = self._noted_by_prefix.setdefault(prefix, {})
        self._noted_by_prefix.move_to_end(prefix)
        for target_id in target_ids:
            noted[target_id] = now
        while len(self._noted_by_prefix) > MAX_PREFIXES:
            self._noted_by_prefix.popitem(last=False)

    def observe(self, event: CacheEvent, now: float) -> None:
        """Take in a target's cache event."""
        last = self._sequence_by_target.get(event.target_id)
        if last is not None and event.sequence > last + 1:
            self._gap_by_target[event.target_id] = now
        self._sequence_by_target[event.target_id] = max(last or 0, event.sequence)
        if event.stored:
            self.note_sent(event.prefix, [event.target_id], now)
        else:
            self._noted_by_prefix.get(event.prefix, {}).pop(event.target_id, None)

    def holders(self, prefix: str, now: float) -> list[str]:
        """Return the targets that probably hold the prefix."""
        noted = self._noted_by_prefix.get(prefix, {})
        return [
            target_id
            for target_id, at in noted.items()
            if now - at <= TTL_S and at >= self._gap_by_target.get(target_id, at)
        ]

    def keep_only(self, target_ids: set[str]) -> None:
        """Forget the sequences of targets that left the fleet."""
        for known in (self._sequence_by_target, self._gap_by_target):
            for target_id in known.keys() - target_ids:
                del known[target_id]
