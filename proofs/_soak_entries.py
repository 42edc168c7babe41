"""The entries of a soak's living targets, as these write them to the store."""

import random

import trio

from standins.object_store import ObjectStoreApp

KIND = "servers"
BEAT_S = 1.2
"""Time within which a living target writes its entry again."""
EXPIRY_S = 3.6
"""Time after which the store removes an entry that is not written."""


class Entries:
    """Writes entries to the store, and again after it came back without them."""

    def __init__(self, store: ObjectStoreApp):
        self._store = store
        self._entry_by_id: dict[str, dict] = {}

    def write(self, target_id: str, entry: dict) -> None:
        """Write a target's entry."""
        before = self._entry_by_id.get(target_id, {"seq": 0})
        entry = entry | {"seq": before["seq"] + 1}
        self._entry_by_id[target_id] = entry
        self._store.put(KIND, target_id, entry)

    def change(self, target_id: str, **changes: object) -> None:
        """Write a living target's entry with some changes."""
        entry = self._entry_by_id.get(target_id)
        if entry is not None:
            self.write(target_id, entry | changes)

    def find(self, target_id: str) -> dict | None:
        """Return the entry of a living target."""
        return self._entry_by_id.get(target_id)

    def remove(self, target_id: str) -> None:
        """Remove the entry of a target that has left."""
        self._entry_by_id.pop(target_id, None)
        self._store.remove(KIND, target_id)

    async def write_again(self, rng: random.Random) -> None:
        """Let all living targets write, and the others' entries expire."""
        due = [
            (rng.uniform(0.0, BEAT_S), target_id)
            for target_id in sorted(self._entry_by_id)
        ]
        started_at = trio.current_time()
        for at_s, target_id in sorted(due):
            await trio.sleep_until(started_at + at_s)
            self.change(target_id)
        await trio.sleep_until(started_at + EXPIRY_S)
        for target_id in self._store.names(KIND):
            if target_id not in self._entry_by_id:
                self._store.remove(KIND, target_id)
