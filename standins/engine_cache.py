"""An engine's caches: KV state of requests, and prompt prefixes with cache events."""

import random
from collections import OrderedDict, deque
from dataclasses import dataclass

from radishfield.core import CacheEvent, KvState, LayerRange

# Length of the prompt prefix that the entry hosts compare.
PREFIX_CHARACTERS = 256
MAX_PREFIXES = 64
MAX_EVENTS = 1000
EVENT_LAG_S = 1.0
# Share of events that are never published.
EVENT_LOSS_RATE = 0.1
KV_BYTES_PER_POSITION = 16
# A request whose end was never reported is dropped after this idle time.
KV_IDLE_S = 60.0
# A request without a step for this long is assumed ended or moved elsewhere.
ACTIVE_S = 2.0


@dataclass(slots=True)
class KvEntry:
    """A request's cache for one attempt, with the next position that it accepts."""

    attempt: int
    next_position: int
    layers: LayerRange
    used_at: float


class KvCache:
    """KV state by request; refuses steps that would corrupt it."""

    __slots__ = ("_entries_by_request", "_imports_by_request", "_ended_by_request")

    def __init__(self):
        self._entries_by_request: dict[str, KvEntry] = {}
        self._imports_by_request: dict[str, KvState] = {}
        self._ended_by_request: OrderedDict[str, int] = OrderedDict()

    def active(self, now: float) -> int:
        """Return the number of requests that had a step within `ACTIVE_S`."""
        entries = self._entries_by_request.values()
        return sum(now - entry.used_at <= ACTIVE_S for entry in entries)

    def refusal(self, request_id: str, attempt: int, position: int, is_first: bool):
        """Return why a step must not run, or an empty string.

        A step that runs twice adds its token to the cache twice, and every
        later token is then computed on a prefix that was never sent.
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
        """Start an attempt's cache; return the number of imported positions."""
        entry = KvEntry(attempt, position, layers, now)
        self._entries_by_request[request_id] = entry
        state = self._imports_by_request.pop(request_id, None)
        if state is None:
            return 0
        if state.layers.first > layers.first or state.layers.end < layers.end:
            return 0
        return min(state.positions, position)

    def advance(self, request_id: str, attempt: int, now: float) -> None:
        """Record that a token's step was run."""
        entry = self._entries_by_request.get(request_id)
        if entry is not None and entry.attempt == attempt:
            entry.next_position += 1
            entry.used_at = now

    def end(self, request_id: str, attempt: int) -> None:
        """Drop a request's attempts up to this one and refuse their later steps."""
        entry = self._entries_by_request.get(request_id)
        if entry is not None and entry.attempt <= attempt:
            del self._entries_by_request[request_id]
        ended = max(attempt, self._ended_by_request.pop(request_id, 0))
        self._ended_by_request[request_id] = ended
        if len(self._ended_by_request) > MAX_EVENTS:
            self._ended_by_request.popitem(last=False)

    def drop_idle(self, now: float) -> None:
        """Drop requests that have been idle for longer than `KV_IDLE_S`."""
        idle = [
            request_id
            for request_id, entry in self._entries_by_request.items()
            if now - entry.used_at > KV_IDLE_S
        ]
        for request_id in idle:
            del self._entries_by_request[request_id]

    def clear(self) -> None:
        """Drop all caches, because the layers have changed."""
        self._entries_by_request.clear()
        self._imports_by_request.clear()

    def export(self, request_id: str, target_id: str) -> KvState | None:
        """Return a request's cache, or None if it is not held here."""
        entry = self._entries_by_request.get(request_id)
        if entry is None:
            return None
        blob = bytes(KV_BYTES_PER_POSITION * entry.next_position)
        return KvState(request_id, target_id, entry.layers, entry.next_position, blob)

    def import_state(self, state: KvState) -> None:
        """Store an imported cache for the attempt that is about to start."""
        self._imports_by_request[state.request_id] = state
        while len(self._imports_by_request) > MAX_PREFIXES:
            self._imports_by_request.pop(next(iter(self._imports_by_request)))


class PrefixCache:
    """Prompt prefixes in limited memory, with delayed and incomplete events."""

    __slots__ = ("_target_id", "_prefixes", "_events", "_sequence", "_rng")

    def __init__(self, target_id: str):
        self._target_id = target_id
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)
        self._sequence = 0
        self._rng = random.Random(target_id)

    def use(self, prompt: str, now: float) -> bool:
        """Cache the prompt's prefix; return whether it was cached before."""
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
        """Return events after a sequence number, at least `EVENT_LAG_S` old."""
        return tuple(
            event
            for at, event in self._events
            if event.sequence > after and now - at >= EVENT_LAG_S
        )

    def _publish(self, prefix: str, stored: bool, now: float) -> None:
        self._sequence += 1
        if self._rng.random() < EVENT_LOSS_RATE:
            return
        event = CacheEvent(self._target_id, self._sequence, prefix, stored)
        self._events.append((now, event))
