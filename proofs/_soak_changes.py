"""Writes a soak's configuration: large versions, and changes of routes and keys."""

import random
from collections.abc import Callable

import trio

from proofs._soak_plans import SECOND_KEY
from standins.object_store import ObjectStoreApp
from standins.routed_config import KEY, config, route

MIN_EXTRA_ROUTES, MAX_EXTRA_ROUTES = 1760, 3000
"""Additional routes of a large version, which has 0.4 to 0.6 MB."""
MAX_SERIES_LENGTH = 4
MIN_GAP_S, MAX_GAP_S = 0.3, 1.5
MAX_QUEUED_S, MAX_WAIT_S = 0.3, 2.0
"""A version waits while more than `MAX_QUEUED_S` is queued before a router's link, so
that waiting for its bytes never makes a router exceed a stream's time limits.  It waits
at most `MAX_WAIT_S`, as a router may read without an end."""
POLL_S = 0.05
UNUSED_KEY = "key-of-w3"
UNUSED_ROUTE, USED_ROUTE = "open", "stream"
"""``open`` has no callers."""
TIMEOUTS_MS = (6000.0, 8000.0, 20000.0)
"""Each is several times the duration of a stream."""


class Changes:
    """Writes versions to the store, and reverts each change after its duration.

    Parameters
    ----------
    queued_s : callable
        Returns the wait in the longest queue before a router's link.
    """

    def __init__(
        self,
        store: ObjectStoreApp,
        timeout_ms: float,
        queued_s: Callable[[], float],
    ):
        self._store = store
        self._timeout_ms = timeout_ms
        self._queued_s = queued_s
        self._version = 0
        self._extra_routes = 0
        self._removed_keys: set[str] = set()
        self._changes_by_route: dict[str, dict | None] = {}
        self._write()

    def skip_versions(self, rng: random.Random) -> None:
        """Write a version whose number is up to five higher."""
        self._version += rng.randint(0, 4)
        self._write()

    async def write_large_versions(self, rng: random.Random) -> None:
        """Write a series of large versions; the last one stays."""
        for _ in range(rng.randint(2, MAX_SERIES_LENGTH)):
            self._extra_routes = rng.randint(MIN_EXTRA_ROUTES, MAX_EXTRA_ROUTES)
            await self._write_when_queues_short()
            await trio.sleep(rng.uniform(MIN_GAP_S, MAX_GAP_S))

    async def change_and_revert(self, used: bool, rng: random.Random) -> None:
        """Change a key or route, one that callers use or another, and revert it."""
        key = SECOND_KEY if used else UNUSED_KEY
        name = USED_ROUTE if used else UNUSED_ROUTE
        kind = rng.choice(["key", "remove", "move", "timeout"])
        duration_s = rng.uniform(MIN_GAP_S, MAX_GAP_S)
        match kind:
            case "key":
                self._removed_keys.add(key)
            case "remove":
                self._changes_by_route[name] = None
            case "move":
                self._changes_by_route[name] = {"pathPrefix": f"/moved/{name}/"}
            case "timeout":
                timeout_ms = rng.choice(TIMEOUTS_MS)
                self._changes_by_route[name] = {"timeoutMs": timeout_ms}
        await self._write_when_queues_short()
        await trio.sleep(duration_s)
        if kind == "key":
            self._removed_keys.discard(key)
        else:
            self._changes_by_route.pop(name, None)
        await self._write_when_queues_short()

    def write_again(self) -> None:
        """Write the last version again, since the store may have lost it."""
        self._store.put("config", "main", self._spec)

    def restore(self) -> None:
        """Write a version without any of the changes."""
        self._extra_routes = 0
        self._removed_keys.clear()
        self._changes_by_route.clear()
        self._write()

    async def _write_when_queues_short(self) -> None:
        with trio.move_on_after(MAX_WAIT_S):
            while self._queued_s() > MAX_QUEUED_S:
                await trio.sleep(POLL_S)
        self._write()

    def _write(self) -> None:
        self._version += 1
        spec = config(self._version)
        routes = [self._apply_changes(item) for item in spec["routes"]]
        spec["routes"] = [item for item in routes if item is not None]
        spec["routes"] += [
            route(f"more-{number}", "idempotent", "portal")
            for number in range(self._extra_routes)
        ]
        keys = [("w1", KEY), ("w2", SECOND_KEY), ("w3", UNUSED_KEY)]
        spec["tenants"] = [
            {"name": name, "apiKeys": [] if key in self._removed_keys else [key]}
            for name, key in keys
        ]
        self._spec = spec
        self._store.put("config", "main", spec)

    def _apply_changes(self, item: dict) -> dict | None:
        changes = self._changes_by_route.get(item["name"], {})
        if changes is None:
            return None
        if item["name"] == USED_ROUTE:
            item = item | {"timeoutMs": self._timeout_ms}
        return item | changes
