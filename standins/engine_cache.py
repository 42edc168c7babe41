"""An engine's caches: KV state of requests, and prompt prefixes with events."""

import random
from collections import OrderedDict, deque
from dataclasses import dataclass

from radishfield.core import CacheEvent, KvState, LayerRange

# As much of a prompt as the entry hosts compare.
PREFIX_CHARACTERS = 256
MAX_PREFIXES = 64
MAX_EVENTS = 1000
EVENT_LAG_S = 1.0
# One event in ten is never published.
GAP_PART = 0.1
KV_BYTES_PER_POSITION = 16
# A request whose end was never heard of is forgotten after this.
KV_IDLE_S = 60.0
# A request without a step for this long has ended or moved elsewhere.
ACTIVE_S = 2.0


@dataclass(slots=True)
class KvEntry:
    """A request's cache for one attempt: the next position that it can take."""

    attempt: int
    next_position: int
    layers: LayerRange
    used_at: float


class KvCache:
    """KV state by request; it refuses steps that would corrupt it."""

    __slots__ = ("_entries_by_request", "_imports_by_request", "_ended_by_request")

    def __init__(self):
        self._entries_by_request: dict[str, KvEntry] = {}
        self._imports_by_request: dict[str, KvState] = {}
        self._ended_by_request: OrderedDict[str, int] = OrderedDict()

    def active(self, now: float) -> int:
        """Return how many requests had a step a short while ago."""
        entries = self._entries_by_request.values()
        return sum(now - entry.used_at <= ACTIVE_S for entry in entries)

    def refusal(self, request_id: str, attempt: int, position: int, is_first: bool):
        """Return why a step must not run, or nothing.

        A step that is run twice adds its token to the cache twice, and every
        later token is computed on a prefix that nobody sent.
        """
        if attempt <= self._ended_by_request.get(request_id, 0):
            return "the attempt was cancelled"
        entry = self._entries_by_request.get(request_id)
        if entry is not None and attempt < entry.attempt:
            return "a newer attempt runs"
        if entry is not None and attempt == entry.attempt:
            if position < entry.next_position:
                return "the step was run before"
            if position > entry.next_position:
                return "a position is missing"
        elif not is_first:
            return "no cache of this attempt"
        return ""

    def begin(
        self, request_id: str, attempt: int, position: int, layers: LayerRange, now
    ) -> int:
        """Start an attempt's cache; return the positions that were imported."""
        entry = KvEntry(attempt, position, layers, now)
        self._entries_by_request[request_id] = entry
        state = self._imports_by_request.pop(request_id, None)
        if state is None:
            return 0
        if state.layers.first > layers.first or state.layers.end < layers.end:
            return 0
        return min(state.positions, position)

    def advance(self, request_id: str, attempt: int, now: float) -> None:
        """Note that a token's step was run."""
        entry = self._entries_by_request.get(request_id)
        if entry is not None and entry.attempt == attempt:
            entry.next_position += 1
            entry.used_at = now

    def end(self, request_id: str, attempt: int) -> None:
        """Forget a request's attempts up to this one, for good."""
        entry = self._entries_by_request.get(request_id)
        if entry is not None and entry.attempt <= attempt:
            del self._entries_by_request[request_id]
        ended = max(attempt, self._ended_by_request.pop(request_id, 0))
        self._ended_by_request[request_id] = ended
        if len(self._ended_by_request) > MAX_EVENTS:
            self._ended_by_request.popitem(last=False)

    def drop_idle(self, now: float) -> None:
        """Forget requests whose end was never heard of."""
        idle = [
            request_id
            for request_id, entry in self._entries_by_request.items()
            if now - entry.used_at > KV_IDLE_S
        ]
        for request_id in idle:
            del self._entries_by_request[request_id]

    def clear(self) -> None:
        """Forget everything: the layers have changed."""
        self._entries_by_request.clear()
        self._imports_by_request.clear()

    def export(self, request_id: str, target_id: str) -> KvState | None:
        """Return a request's cache, if it is here."""
        entry = self._entries_by_request.get(request_id)
        if entry is None:
            return None
        blob = bytes(KV_BYTES_PER_POSITION * entry.next_position)
        return KvState(request_id, target_id, entry.layers, entry.next_position, blob)

    def take(self, state: KvState) -> None:
        """Keep an imported cache for the attempt that is about to start."""
        self._imports_by_request[state.request_id] = state
        while len(self._imports_by_request) > MAX_PREFIXES:
            self._imports_by_request.pop(next(iter(self._imports_by_request)))


class PrefixCache:
    """Prompt prefixes in limited memory; events come late and with gaps."""

    __slots__ = ("_target_id", "_prefixes", "_events", "_sequence", "_random")

    def __init__(self, target_id: str):
        self._target_id = target_id
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)
        self._sequence = 0
        self._random = random.Random(target_id)

    def use(self, prompt: str, now: float) -> bool:
        """Tell whether the prompt's prefix was cached; it is afterwards."""
        prefix = prompt[:PREFIX_CHARACTERS]
        hit = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if not hit:
            self._publish(prefix, True, now)
        if len(self._prefixes) > MAX_PREFIXES:
            dropped, _ = self._prefixes.popitem(last=False)
            self._publish(dropped, False, now)
        return hit

    def events(self, after: int, now: float) -> tuple[CacheEvent, ...]:
        """Return the events that are old enough to be seen."""
        return tuple(
            event
            for at, event in self._events
            if event.sequence > after and now - at >= EVENT_LAG_S
        )

    def _publish(self, prefix: str, stored: bool, now: float) -> None:
        self._sequence += 1
        if self._random.random() < GAP_PART:
            return
        event = CacheEvent(self._target_id, self._sequence, prefix, stored)
        self._events.append((now, event))
