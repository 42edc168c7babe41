"""Tracks which targets probably hold a prompt's prefix in their cache.

A few prefixes (a registry's review template, a station's notice template) begin
most prompts.  A target that has run one skips its prefill.  But sending a popular
prefix always to the same target makes that target the bottleneck, so affinity
applies only below a load bound.

Cache events arrive late and with gaps.  A lost "stored" event misses one chance to
reuse a cache; a lost "dropped" event costs one ordinary prefill.  So entries simply
expire, and after a gap in a target's sequence its earlier entries are ignored.
"""

from collections import OrderedDict

from radishfield.core import CacheEvent

MAX_PREFIXES = 20_000
"""Maximum number of prefixes: a few MB, and more than the engines' memory holds."""

TTL_S = 120.0
"""Engines evict unused prefixes; two minutes is short compared with their churn at
full load and long compared with the lag of events."""

LOAD_BOUND = 1.25
"""A cached target is preferred up to this multiple of its pool's mean use
(consistent hashing with bounded loads uses the same figure)."""


class PrefixIndex:
    """Prefixes and the targets that ran or stored them; latest use last."""

    __slots__ = ("_uses_by_prefix", "_sequence_by_target", "_gap_at_by_target")

    def __init__(self):
        self._uses_by_prefix: OrderedDict[str, dict[str, float]] = OrderedDict()
        self._sequence_by_target: dict[str, int] = {}
        self._gap_at_by_target: dict[str, float] = {}

    def record_prefix_use(self, prefix: str, target_ids: list[str], now: float) -> None:
        """Record that a prompt with the prefix went to these targets."""
        used_at_by_target = self._uses_by_prefix.setdefault(prefix, {})
        self._uses_by_prefix.move_to_end(prefix)
        for target_id in target_ids:
            used_at_by_target[target_id] = now
        while len(self._uses_by_prefix) > MAX_PREFIXES:
            self._uses_by_prefix.popitem(last=False)

    def observe(self, event: CacheEvent, now: float) -> None:
        """Apply a target's cache event."""
        last = self._sequence_by_target.get(event.target_id)
        if last is not None and event.sequence > last + 1:
            self._gap_at_by_target[event.target_id] = now
        self._sequence_by_target[event.target_id] = max(last or 0, event.sequence)
        if event.stored:
            self.record_prefix_use(event.prefix, [event.target_id], now)
        else:
            self._uses_by_prefix.get(event.prefix, {}).pop(event.target_id, None)

    def holders(self, prefix: str, now: float) -> list[str]:
        """Return the targets that probably hold the prefix."""
        used_at_by_target = self._uses_by_prefix.get(prefix, {})
        return [
            target_id
            for target_id, used_at in used_at_by_target.items()
            if now - used_at <= TTL_S
            and used_at >= self._gap_at_by_target.get(target_id, used_at)
        ]

    def keep_only(self, target_ids: set[str]) -> None:
        """Forget the sequences of targets that left the fleet."""
        for by_target in (self._sequence_by_target, self._gap_at_by_target):
            for target_id in by_target.keys() - target_ids:
                del by_target[target_id]
