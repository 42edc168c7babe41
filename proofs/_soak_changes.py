"""The configuration of a soak: versions of many routes, and changes of what is used."""

import random
from collections.abc import Callable

import trio

from proofs._soak_plans import SECOND_KEY
from standins.object_store import ObjectStoreApp
from standins.routed_config import KEY, config, route

FEWEST_MORE, MOST_MORE = 1760, 3000
"""Routes more of a large version: 0.4 to 0.6 MB."""
MOST_IN_SERIES = 4
LEAST_GAP_S, LONGEST_GAP_S = 0.3, 1.5
MOST_QUEUED_S, MOST_WAIT_S = 0.3, 2.0
"""A version waits while more than this lies before a router's link, so that a router
that waits for its bytes is never late for a stream's own time; but it does not wait
longer for a router that reads without an end."""
LOOK_S = 0.05
OTHER_KEY = "key-of-w3"
OTHER_ROUTE, USED_ROUTE = "open", "stream"
"""``open`` has no callers."""
TIMEOUTS_MS = (6000.0, 8000.0, 20000.0)
"""Each is several times what a stream takes."""


class Changes:
    """Writes versions to the store, and takes each change back after its time.

    Parameters
    ----------
    queued_s : callable
        Returns how long the longest queue before a router's link is.
    """

    def __init__(
        self,
        store: ObjectStoreApp,
        chance: random.Random,
        timeout_ms: float,
        queued_s: Callable[[], float],
    ):
        self._store = store
        self._chance = chance
        self._timeout_ms = timeout_ms
        self._queued_s = queued_s
        self._version = 0
        self._more = 0
        self._keys_taken: set[str] = set()
        self._altered: dict[str, dict | None] = {}
        self._write()

    def skip_versions(self) -> None:
        """Write a version whose number is up to five higher."""
        self._version += self._chance.randint(0, 4)
        self._write()

    async def grow(self) -> None:
        """Write large versions in series; the last one stays."""
        for _ in range(self._chance.randint(2, MOST_IN_SERIES)):
            self._more = self._chance.randint(FEWEST_MORE, MOST_MORE)
            await self._write_in_turn()
            await trio.sleep(self._chance.uniform(LEAST_GAP_S, LONGEST_GAP_S))

    async def alter(self, used: bool) -> None:
        """Change a key or route, one that callers use or another, and take it back."""
        key = SECOND_KEY if used else OTHER_KEY
        name = USED_ROUTE if used else OTHER_ROUTE
        kind = self._chance.choice(["key", "remove", "move", "timeout"])
        lasts_s = self._chance.uniform(LEAST_GAP_S, LONGEST_GAP_S)
        match kind:
            case "key":
                self._keys_taken.add(key)
            case "remove":
                self._altered[name] = None
            case "move":
                self._altered[name] = {"pathPrefix": f"/moved/{name}/"}
            case "timeout":
                timeout_ms = self._chance.choice(TIMEOUTS_MS)
                self._altered[name] = {"timeoutMs": timeout_ms}
        await self._write_in_turn()
        await trio.sleep(lasts_s)
        if kind == "key":
            self._keys_taken.discard(key)
        else:
            self._altered.pop(name, None)
        await self._write_in_turn()

    def restore(self) -> None:
        """Write a version without any of the changes."""
        self._more = 0
        self._keys_taken.clear()
        self._altered.clear()
        self._write()

    async def _write_in_turn(self) -> None:
        with trio.move_on_after(MOST_WAIT_S):
            while self._queued_s() > MOST_QUEUED_S:
                await trio.sleep(LOOK_S)
        self._write()

    def _write(self) -> None:
        self._version += 1
        spec = config(self._version)
        routes = [self._current(item) for item in spec["routes"]]
        spec["routes"] = [item for item in routes if item is not None]
        spec["routes"] += [
            route(f"more-{number}", "idempotent", "portal")
            for number in range(self._more)
        ]
        keys = [("w1", KEY), ("w2", SECOND_KEY), ("w3", OTHER_KEY)]
        spec["tenants"] = [
            {"name": name, "apiKeys": [] if key in self._keys_taken else [key]}
            for name, key in keys
        ]
        self._store.put("config", "main", spec)

    def _current(self, item: dict) -> dict | None:
        changes = self._altered.get(item["name"], {})
        if changes is None:
            return None
        if item["name"] == USED_ROUTE:
            item = item | {"timeoutMs": self._timeout_ms}
        return item | changes
