"""Follow the configuration and the list of targets in the store, by watches.

A watch that waits proves nothing about how fresh its view is, so it waits for a
short time only: each answer confirms what was known when the call was sent.  A host
that others tell what changed (`radishfield.routing.WatchDuty`) asks nothing until it
has to; then it lists, since the changes of the time between were told by others.
"""

import random
from collections.abc import Callable

import trio
from expression import Result

from radishfield.core import Fault, ResultCode
from radishfield.forwarding._peer_messages import PeerConfig, TargetNews, config_spec
from radishfield.forwarding._view import ConfigNews, RouterView
from radishfield.platform import (
    CONFIG_KIND,
    CONFIG_NAME,
    TARGETS_KIND,
    Changes,
    Listing,
    ObjectStore,
    StoredValue,
    decode_config,
    decode_target,
)
from radishfield.routing import Removal, RoutingTable
from radishfield.telemetry import log_event
from radishfield.web import backoff_s

CONFIG_WATCH_SHARE = 0.4
"""Part of the bound on keys for which a watch of the configuration waits.  Just
before its answer a view is two waits old, so this leaves a fifth of the bound for a
slow store; each call is paid for, and the rates do not grow with the hosts."""
SHARED_CONFIG_WATCH_SHARE = 0.2
"""The same where other hosts depend on this one: its word takes up to a second to
reach them, so it confirms its view twice as often."""
TARGETS_WATCH_S = 2.5
"""A change wakes the watch at once; its wait is only how long a connection that has
fallen silent goes unnoticed, and work may reach a target that left for two seconds
after the time that cuts excuse."""
COALESCE_S = 0.15
"""Pause after a change.  In a storm of changes each would wake the watch of every
host by itself."""
LONGEST_COALESCE_S = 0.6
"""Pause that a storm grows to, doubled from change to change: two calls a second, and
each change in force well within the two seconds that operators allow."""
LEAST_DUTY_LOOK_S = 0.1
"""Shortest pause between two looks of a host that asks nothing whether it has to."""
LOST_WATCH_S = 0.0
"""Wait of a watch after failures.  One that waits is answered only when something
changes: a store that is back would confirm nothing for as long, and keys would be
refused meanwhile."""
FAILED_WATCHES = 2
"""Watches in a row that fail before a configuration is read anew.  A watch brings each
version since the last that was read: over a slow link it takes longer than a call may,
and longer still with each version that comes."""
LONGEST_PAUSE_S = 1.0
"""Longest pause after failures: a store that is back is noticed within a second."""


class StoreFollower:
    """One watch on one kind of object, kept up through gaps and outages.

    Parameters
    ----------
    newest_only : bool
        Only the newest state counts, so that reading all of it anew is no more work
        than the changes of a while.
    """

    __slots__ = (
        "_chance",
        "_failures",
        "_due_in_s",
        "_kind",
        "_newest_only",
        "_revision",
        "_store",
        "_view",
        "_wait_s",
    )

    def __init__(
        self,
        store: ObjectStore,
        view: RouterView,
        kind: str,
        wait_s: Callable[[], float],
        due_in_s: Callable[[], float],
        newest_only: bool = False,
    ):
        self._wait_s = wait_s
        self._due_in_s = due_in_s
        self._newest_only = newest_only
        self._store = store
        self._view = view
        self._kind = kind
        self._revision: int | None = None
        self._failures = 0
        self._chance = random.Random()

    async def follow(
        self,
        on_listing: Callable[[Listing, float], None],
        on_changes: Callable[[Changes, float], None],
        on_failure: Callable[[Fault], None],
    ) -> None:
        """Follow until cancelled.

        The callbacks get the reading of the clock before the call was sent.
        """
        pause_s = COALESCE_S
        while True:
            due_in_s = self._due_in_s()
            if due_in_s > 0.0:
                self._revision = None
                with trio.move_on_after(max(due_in_s, LEAST_DUTY_LOOK_S)):
                    await self._view.followers_woken.wait()
                continue
            asked_at = self._view.clock.now()
            # A sign that comes while this call still fails must not be missed.
            store_back = self._view.store_back
            if self._revision is None:
                result = await self._store.list(self._kind)
                deliver = on_listing
            else:
                wait_s = LOST_WATCH_S if self._failures else self._wait_s()
                result = await self._store.watch(self._kind, self._revision, wait_s)
                deliver = on_changes
            if result.is_error():
                await self._failed(result, on_failure, store_back)
                continue
            self._regained()
            self._revision = result.ok.revision
            deliver(result.ok, asked_at)
            if isinstance(result.ok, Changes) and result.ok.changes:
                await trio.sleep(pause_s)
                pause_s = min(LONGEST_COALESCE_S, pause_s * 2)
            else:
                pause_s = COALESCE_S

    async def _failed(
        self,
        result: Result,
        on_failure: Callable[[Fault], None],
        store_back: trio.Event,
    ) -> None:
        problem: Fault = result.error
        if problem.code is ResultCode.WATCH_GAP:
            log_event("store.history_gone", kind=self._kind, revision=self._revision)
            self._revision = None
            return
        self._failures += 1
        if self._newest_only and self._failures >= FAILED_WATCHES:
            self._revision = None
        if self._failures == 1:
            log_event(
                "store.lost",
                kind=self._kind,
                code=int(problem.code),
                detail=problem.detail,
            )
        on_failure(problem)
        pause_s = min(LONGEST_PAUSE_S, backoff_s(self._failures, self._chance))
        with trio.move_on_after(pause_s):
            await store_back.wait()

    def _regained(self) -> None:
        if self._failures:
            log_event("store.regained", kind=self._kind, failures=self._failures)
            self._view.note_store_back()
        self._failures = 0


class ConfigFollower:
    """Keeps the newest configuration in force, and knows how fresh it is."""

    __slots__ = ("_follower", "_on_limits", "_view")

    def __init__(
        self,
        store: ObjectStore,
        view: RouterView,
        on_limits: Callable[[float], None],
    ):
        self._view = view
        self._follower = StoreFollower(
            store, view, CONFIG_KIND, self._wait_s, self._due_in_s, newest_only=True
        )
        self._on_limits = on_limits
        view.hear_config = self._hear_config

    def _wait_s(self) -> float:
        shared = self._view.watch_duty.shared
        share = SHARED_CONFIG_WATCH_SHARE if shared else CONFIG_WATCH_SHARE
        return self._view.freshness.bound_s * share

    def _due_in_s(self) -> float:
        view, now = self._view, self._view.clock.now()
        table = view.table
        due_in_s = view.watch_duty.config_due_in_s(
            view.freshness.age_s(now),
            view.freshness.bound_s,
            table.config.version if table else 0,
            now,
        )
        if due_in_s > 0.0:
            view.watch_duty.reading_since = None
        elif view.watch_duty.reading_since is None:
            view.watch_duty.reading_since = now
        return due_in_s

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Follow until cancelled."""
        task_status.started()
        await self._follower.follow(self._listed, self._changed, self._failed)

    def _failed(self, problem: Fault) -> None:
        self._view.freshness.failed(self._view.clock.now())

    def _listed(self, listing: Listing, asked_at: float) -> None:
        found = [value for value in listing.values if value.name == CONFIG_NAME]
        self._adopt_newest(found, asked_at)

    def _changed(self, changes: Changes, asked_at: float) -> None:
        found = [
            change.value
            for change in changes.changes
            if change.value.name == CONFIG_NAME and not change.deleted
        ]
        self._adopt_newest(found, asked_at)

    def _adopt_newest(self, found: list[StoredValue], asked_at: float) -> None:
        usable = True
        for value in found[-1:]:
            self._view.config_reads += 1
            usable = self._adopt(value, asked_at)
            if usable and self._view.watch_duty.tells_others:
                version = self._view.table.config.version
                self._view.config_news.add(ConfigNews(version, value))
        if usable and self._view.table is not None:
            self._view.freshness.confirm(asked_at, self._view.clock.now())

    def _hear_config(self, message: PeerConfig) -> None:
        """Take a version that another host passes on; it proves nothing of its age."""
        table = self._view.table
        if table is not None and message.version <= table.config.version:
            return
        spec = config_spec(message)
        value = StoredValue(CONFIG_NAME, message.revision, spec)
        self._adopt(value, self._view.clock.now())

    def _adopt(self, value: StoredValue, asked_at: float) -> bool:
        """Put a version in force; return whether the view is the newest now."""
        began_at = self._view.clock.now()
        decoded = decode_config(value.spec)
        if decoded.is_error():
            log_event(
                "config.unreadable",
                revision=value.revision,
                detail=decoded.error.detail,
            )
            return False
        config = decoded.ok
        table = self._view.table
        if table is not None and config.version < table.config.version:
            # A stale answer; taking it would undo what callers have seen.
            log_event(
                "config.older",
                version=config.version,
                in_force=table.config.version,
                revision=value.revision,
            )
            return False
        self._view.table = RoutingTable(config)
        self._on_limits(config.limits.idle_timeout_s)
        log_event(
            "config.in_force",
            version=config.version,
            revision=value.revision,
            routes=len(config.routes),
            keys=len(config.workspace_by_key),
            after_s=round(began_at - asked_at, 3),
            decode_s=round(self._view.clock.now() - began_at, 3),
        )
        return True


class TargetFollower:
    """Keeps the directory of targets as the store lists them."""

    __slots__ = ("_follower", "_listed_revision", "_revision_by_id", "_view")

    def __init__(self, store: ObjectStore, view: RouterView):
        self._view = view
        self._follower = StoreFollower(
            store, view, TARGETS_KIND, lambda: TARGETS_WATCH_S, self._due_in_s
        )
        self._revision_by_id: dict[str, int] = {}
        self._listed_revision = 0
        view.hear_news = self._hear_news

    def _due_in_s(self) -> float:
        return self._view.watch_duty.targets_due_in_s(self._view.clock.now())

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Follow until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._expire)
            task_status.started()
            await self._follower.follow(self._listed, self._changed, self._failed)

    def _listed(self, listing: Listing, asked_at: float) -> None:
        record_by_id = {}
        for value in listing.values:
            decoded = decode_target(value.name, value.spec)
            if decoded.is_ok():
                record_by_id[value.name] = decoded.ok
            else:
                log_event(
                    "target.unreadable", target=value.name, detail=decoded.error.detail
                )
        now = self._view.clock.now()
        self._view.targets_confirmed_at = asked_at
        self._view.watch_duty.read_targets(now)
        self._listed_revision = listing.revision
        self._revision_by_id = {value.name: value.revision for value in listing.values}
        for removal in self._view.directory.replace_all(record_by_id, now):
            self._log_removal(removal, listing.revision)
        log_event(
            "targets.listed", targets=len(record_by_id), revision=listing.revision
        )
        self._view.free_room()

    def _changed(self, changes: Changes, asked_at: float) -> None:
        self._view.targets_confirmed_at = asked_at
        self._view.watch_duty.read_targets(self._view.clock.now())
        for change in changes.changes:
            value = change.value
            known = self._revision_by_id.get(value.name, 0)
            self._revision_by_id[value.name] = max(known, value.revision)
            if change.deleted:
                changed = self._remove(value.name, changes.revision)
            else:
                changed = self._update(value)
            if changed and self._view.watch_duty.shared:
                spec = None if change.deleted else value.spec
                revision = self._revision_by_id[value.name]
                self._view.news.add(TargetNews(value.name, revision, spec))
        if changes.changes:
            self._view.free_room()

    def _hear_news(self, items: list[TargetNews]) -> None:
        """Take what another host passes on; news may arrive late or twice."""
        for item in items:
            known = self._revision_by_id.get(item.target_id, self._listed_revision)
            if item.revision < known or (
                item.revision == known and item.spec is not None
            ):
                continue
            self._revision_by_id[item.target_id] = item.revision
            if item.spec is None:
                self._remove(item.target_id, item.revision)
            else:
                self._update(StoredValue(item.target_id, item.revision, item.spec))
        self._view.free_room()

    def _update(self, value: StoredValue) -> bool:
        """Take a target's entry; return whether the list is another one now."""
        decoded = decode_target(value.name, value.spec)
        if decoded.is_error():
            log_event(
                "target.unreadable", target=value.name, detail=decoded.error.detail
            )
            return self._remove(value.name, value.revision)
        record = decoded.ok
        before = self._view.directory.find(record.id)
        changed = self._view.directory.update(record)
        if (
            before is None
            or before.phase is not record.phase
            or before.span != record.span
        ):
            log_event(
                "target.changed",
                target=record.id,
                service=record.service,
                zone=record.zone,
                phase=str(record.phase),
                accelerator=record.accelerator,
                span=f"{record.span.first}-{record.span.end}" if record.span else "",
                started_ms=record.started_ms,
                revision=value.revision,
            )
        return changed

    def _remove(self, target_id: str, revision: int) -> bool:
        """Take a target off the list; return whether it is off now."""
        removal = self._view.directory.remove(target_id, self._view.clock.now())
        self._log_removal(removal, revision)
        return not removal.held

    def _log_removal(self, removal: Removal, revision: int) -> None:
        log_event(
            "target.removed", target=removal.id, held=removal.held, revision=revision
        )

    def _failed(self, problem: Fault) -> None:
        self._view.directory.store_failed(self._view.clock.now())

    async def _expire(self) -> None:
        while True:
            await trio.sleep(0.2)
            for target_id in self._view.directory.expire_missing(
                self._view.clock.now()
            ):
                log_event("target.expired", target=target_id)
