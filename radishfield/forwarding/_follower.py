"""Follows the configuration and the list of targets in the store by watches.

A pending watch proves nothing about the freshness of the view, so it waits for a
short time only: each answer confirms the state known when the call was sent.  A host
that receives changes from others (`radishfield.routing.WatchDuty`) sends no call
until it has to.  It then lists, since the changes in between came from other hosts.
"""

import random
from collections.abc import Callable

import trio
from expression import Result

from radishfield.core import Fault, ResultCode, sleep_to_tick
from radishfield.forwarding._peer_messages import PeerConfig, TargetUpdate, config_spec
from radishfield.forwarding._view import ConfigUpdate, RouterView
from radishfield.platform import (
    CONFIG_KIND,
    CONFIG_NAME,
    TARGETS_KIND,
    Change,
    Changes,
    Listing,
    ObjectStore,
    StoredValue,
    decode_config,
    decode_target,
    read_beats,
)
from radishfield.routing import (
    COALESCE_S,
    EXPIRY_CHECK_S,
    MAX_ANSWER_MARGIN_S,
    MIN_DUTY_CHECK_S,
    AnswerMargin,
    Entry,
    EntryHistory,
    Position,
    Removal,
    Replacement,
    RequestLimits,
    RoutingTable,
    TargetRecord,
    confirmed_at,
    watch_wait_s,
)
from radishfield.telemetry import log_event
from radishfield.web import backoff_s

CONFIG_WATCH_SHARE = 0.35
"""Fraction of the bound on keys for which a watch of the configuration waits.  Just
before the answer the view is two waits old, so three tenths of the bound are left for
a slow store.  A watch whose connection falls silent is found, and the version read
again, within the three seconds for which the loss excuses a late version: a wait of
1.75 s, a margin of 1 s, and 0.25 s for the read.  Each call is paid for, and the rates
do not grow with the hosts."""
SHARED_CONFIG_WATCH_SHARE = 0.2
"""The same fraction while other hosts depend on this one: its reports take up to a
second to reach them.  A view that they hear of is older than one wait, so that they
read the store themselves within the time for a change if all watchers are lost."""
ANSWERED_AGE_SHARE = 0.8
"""Fraction of the bound on keys at which the answer to a watch of the configuration
has to be there.  While answers are late, as those of a slow store are or those that a
busy host reads, the watch waits by as much less."""
SHARED_ANSWERED_AGE_SHARE = 0.45
"""The same fraction while other hosts depend on this one: its report reaches them up to
two statuses later, and they read the store themselves at `CONFIG_AGE_SHARE`."""
MIN_CONFIG_WATCH_S = 0.25
"""Shortest interval between such watches, so that a view that no answer confirms costs
at most four calls a second.  Late answers count towards it."""
MAX_COALESCE_S = 0.6
"""Maximum pause in a burst; the pause doubles with each change.  It gives two calls a
second, and each change is active well within the two seconds that operators allow.
The pause is shorter where the list has grown old meanwhile."""
RECOVERY_WATCH_S = 0.0
"""Wait of a watch after failures.  A watch that waits is answered only when something
changes, so the view would stay unconfirmed for that long after the store has
recovered, and keys would be refused meanwhile."""
MAX_FAILED_WATCHES = 2
"""Consecutive failed watches after which a configuration is listed instead.  A watch
returns every version since the last one read.  Over a slow link this takes longer than
the limit of a call, and even longer with each new version."""
MAX_PAUSE_S = 1.0
"""Maximum pause after failures: a recovered store is noticed within a second."""


class StoreFollower:
    """A watch on one kind of object, maintained through history gaps and outages.

    Parameters
    ----------
    failures : int
        Calls in a row that were not answered.
    requested_at : float
        When the last call was sent.
    answer_late_s : float
        Time by which the last answer came later than the wait of its call.
    newest_only : bool
        Only the newest state matters, so listing it costs no more than reading the
        changes of some time.
    margin : AnswerMargin or None
        Time by which answers may be late; None for the store's usual limits.
    confirms_waits : bool
        An answer without changes confirms the state for the end of its wait.  For
        keys only the time before the call counts: the answer may have been made early
        and found after a suspension of the host.
    """

    __slots__ = (
        "_rng",
        "_burst_pause_s",
        "_confirms_waits",
        "_due_in_s",
        "_has_answer",
        "_kind",
        "_margin",
        "_newest_only",
        "_position",
        "_store",
        "_view",
        "_wait_s",
        "answer_late_s",
        "failures",
        "requested_at",
    )

    def __init__(
        self,
        store: ObjectStore,
        view: RouterView,
        kind: str,
        wait_s: Callable[[], float],
        due_in_s: Callable[[], float],
        newest_only: bool = False,
        margin: AnswerMargin | None = None,
        confirms_waits: bool = False,
    ):
        self._burst_pause_s = COALESCE_S
        self._confirms_waits = confirms_waits
        self._margin = margin
        self._wait_s = wait_s
        self._due_in_s = due_in_s
        self._newest_only = newest_only
        self._store = store
        self._view = view
        self._kind = kind
        self._position: Position | None = None
        self._has_answer = False
        self.failures = 0
        self.requested_at = 0.0
        self.answer_late_s = 0.0
        self._rng = random.Random()

    async def follow(
        self,
        on_listing: Callable[[Listing, float], None],
        on_changes: Callable[[Changes, float], None],
        on_failure: Callable[[Fault], None],
    ) -> None:
        """Follow until cancelled.

        The callbacks receive the time for which the answer confirms the list.
        """
        boundary = self._view.boundary
        while True:
            followed = boundary.contain("store.follow", self._kind)
            with followed:
                await self._follow_once(on_listing, on_changes, on_failure)
            if followed.failed:
                # What was not applied is read again.
                self._position = None
                await trio.sleep(boundary.pause_left_s("store.follow", self._kind))

    async def _follow_once(
        self,
        on_listing: Callable[[Listing, float], None],
        on_changes: Callable[[Changes, float], None],
        on_failure: Callable[[Fault], None],
    ) -> None:
        """Wait until a call is due, send it, and apply its answer."""
        due_in_s = self._due_in_s()
        if due_in_s > 0.0:
            self._position = None
            with trio.move_on_after(max(due_in_s, MIN_DUTY_CHECK_S)):
                await self._view.followers_woken.wait()
            return
        self.requested_at = self._view.clock.now()
        # A recovery signalled while this call is still failing must not be missed.
        store_back = self._view.store_back
        wait_s = self._next_wait_s()
        result = await self._request_in_era(wait_s)
        if result is None:
            return
        if result.is_error():
            await self._handle_failure(result, on_failure, store_back)
            return
        changed = isinstance(result.ok, Changes) and bool(result.ok.changes)
        confirms_at = self._record_answer(wait_s, changed)
        self._position = result.ok.position
        if isinstance(result.ok, Listing):
            on_listing(result.ok, confirms_at)
        else:
            on_changes(result.ok, confirms_at)
        if isinstance(result.ok, Changes) and not result.ok.complete:
            # Which object was removed is shown by a list without it.
            log_event("store.removal_unreadable", kind=self._kind)
            self._position = None
        elif changed:
            pause_s = min(self._burst_pause_s, max(COALESCE_S, self._wait_s()))
            await trio.sleep(pause_s)
            self._burst_pause_s = min(MAX_COALESCE_S, self._burst_pause_s * 2)
        else:
            self._burst_pause_s = COALESCE_S

    def _next_wait_s(self) -> float:
        """Return for how long the next call may wait for changes."""
        if self._position is None:
            return 0.0
        return RECOVERY_WATCH_S if self.failures else self._wait_s()

    async def _request_in_era(
        self, wait_s: float
    ) -> Result[Listing | Changes, Fault] | None:
        """Send a call; None if the store has come back from a copy meanwhile.

        The connection of a call in flight may have fallen silent with the store.
        """
        changed, result = self._view.eras.changed, None

        async def give_up(scope: trio.CancelScope) -> None:
            await changed.wait()
            scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(give_up, nursery.cancel_scope)
            result = await self._request(wait_s)
            nursery.cancel_scope.cancel()
        return result

    async def _request(self, wait_s: float) -> Result[Listing | Changes, Fault]:
        """List all objects, or watch them from the revision that was read last."""
        store, margin = self._store, self._margin
        if self._position is None and margin is None:
            return await store.list(self._kind)
        if self._position is None:
            # Before the first answer there is no list whose age matters, and a call
            # that is given up has to be repeated.
            limit_s = margin.length_s if self._has_answer else MAX_ANSWER_MARGIN_S
            return await store.list(self._kind, limit_s)
        if margin is None:
            return await store.watch(self._kind, self._position, wait_s)
        return await store.watch(self._kind, self._position, wait_s, margin.length_s)

    def _record_answer(self, wait_s: float, changed: bool) -> float:
        """Record that the store answered; return the time that its answer confirms."""
        now = self._view.clock.now()
        self._has_answer = True
        late_s = now - self.requested_at - wait_s
        self.answer_late_s = max(0.0, late_s)
        if self._margin is not None:
            self._margin.record_answer(late_s)
        self._record_recovery()
        if not self._confirms_waits:
            return self.requested_at
        return confirmed_at(self.requested_at, wait_s, now, changed)

    async def _handle_failure(
        self,
        result: Result,
        on_failure: Callable[[Fault], None],
        store_back: trio.Event,
    ) -> None:
        problem: Fault = result.error
        if problem.code is ResultCode.WATCH_GAP:
            log_event(
                "store.history_gone",
                kind=self._kind,
                **_position_fields(self._position),
                detail=problem.detail,
            )
            self._position = None
            return
        self.failures += 1
        if self._margin is not None:
            self._margin.record_loss(self.failures)
        if self._newest_only and self.failures >= MAX_FAILED_WATCHES:
            self._position = None
        if self.failures == 1:
            log_event(
                "store.lost",
                kind=self._kind,
                code=int(problem.code),
                detail=problem.detail,
                pending_s=round(self._view.clock.now() - self.requested_at, 2),
            )
        on_failure(problem)
        if self.failures == 1:
            # The connection may have been lost alone; a new one shows it at once.
            return
        pause_s = min(MAX_PAUSE_S, backoff_s(self.failures, self._rng))
        with trio.move_on_after(pause_s):
            await store_back.wait()

    def _record_recovery(self) -> None:
        if self.failures:
            log_event("store.regained", kind=self._kind, failures=self.failures)
            self._view.notify_store_back()
        self.failures = 0


class ConfigFollower:
    """Keeps the newest configuration active and records its freshness.

    The store may come back without the version in force.  That stays in force, and is
    confirmed again only once the store holds it, or a newer one, anew.
    """

    __slots__ = ("_follower", "_on_limits", "_stored_version", "_view")

    def __init__(
        self,
        store: ObjectStore,
        view: RouterView,
        on_limits: Callable[[RequestLimits], None],
    ):
        self._view = view
        self._follower = StoreFollower(
            store, view, CONFIG_KIND, self._wait_s, self._due_in_s, newest_only=True
        )
        self._on_limits = on_limits
        self._stored_version: int | None = None
        view.on_config = self._apply_peer_config

    def _wait_s(self) -> float:
        freshness, now = self._view.freshness, self._view.clock.now()
        shared = self._view.watch_duty.shared
        share = SHARED_CONFIG_WATCH_SHARE if shared else CONFIG_WATCH_SHARE
        due_share = SHARED_ANSWERED_AGE_SHARE if shared else ANSWERED_AGE_SHARE
        longest_s = freshness.bound_s * share
        if self._view.lacks_witness():
            return MIN_CONFIG_WATCH_S
        age_s = freshness.age_s(now)
        if age_s >= freshness.bound_s:
            return longest_s
        due_in_s = freshness.bound_s * due_share - age_s
        late_s = self._follower.answer_late_s
        shortest_s = max(0.0, MIN_CONFIG_WATCH_S - late_s)
        wait_s = min(longest_s, max(shortest_s, due_in_s - late_s))
        if wait_s < longest_s:
            return wait_s
        return wait_s + self._view.watch_duty.turn_delay_s(wait_s, now)

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
        await self._follower.follow(
            self._apply_listing, self._apply_changes, self._handle_failure
        )

    def _handle_failure(self, problem: Fault) -> None:
        self._view.freshness.failed(self._view.clock.now())

    def _apply_listing(self, listing: Listing, requested_at: float) -> None:
        found = [value for value in listing.values if value.name == CONFIG_NAME]
        if not found:
            self._stored_version = None
        self._adopt_newest(found, requested_at)

    def _apply_changes(self, changes: Changes, requested_at: float) -> None:
        found = [each for each in changes.changes if each.value.name == CONFIG_NAME]
        if found and found[-1].deleted:
            self._stored_version = None
            found = []
        self._adopt_newest([change.value for change in found], requested_at)

    def _adopt_newest(self, found: list[StoredValue], requested_at: float) -> None:
        for value in found[-1:]:
            self._view.config_reads += 1
            self._stored_version = self._adopt(value, requested_at)
            if self._is_stored() and self._view.watch_duty.reports_to_zone:
                version = self._view.table.config.version
                self._view.config_updates.add(ConfigUpdate(version, value))
        now = self._view.clock.now()
        self._view.offers_config = not self._is_stored()
        if self._may_confirm(requested_at):
            self._view.freshness.confirm(requested_at, now)
            self._view.note_era_confirmed()
        elif self._view.table is not None:
            self._view.freshness.note_answer(now)

    def _is_stored(self) -> bool:
        """Return whether the store holds the version that is in force here."""
        table = self._view.table
        return table is not None and self._stored_version == table.config.version

    def _may_confirm(self, requested_at: float) -> bool:
        """Return whether an answer shows that the version in force is the newest."""
        view, duty = self._view, self._view.watch_duty
        if not self._is_stored() or view.lacks_witness():
            return False
        if duty.newest_version <= self._stored_version:
            return True
        # In the first era no version is lost, so that one which was heard of after the
        # call was acknowledged after it, too.
        return not view.eras.has_returned and duty.newer_heard_at >= requested_at

    def _apply_peer_config(self, message: PeerConfig) -> None:
        """Adopt a version that another host forwards; it does not confirm freshness."""
        table = self._view.table
        if table is not None and message.version <= table.config.version:
            return
        spec = config_spec(message)
        position = Position(message.era, message.revision)
        value = StoredValue(CONFIG_NAME, position, spec)
        self._adopt(value, self._view.clock.now())

    def _adopt(self, value: StoredValue, requested_at: float) -> int | None:
        """Activate a version unless it is older; return it, or None if unreadable."""
        started_at = self._view.clock.now()
        decoded = decode_config(value.spec)
        if decoded.is_error():
            log_event(
                "config.unreadable",
                **_position_fields(value.position),
                code=int(decoded.error.code),
                detail=decoded.error.detail,
            )
            return None
        config = decoded.ok
        table = self._view.table
        if table is not None and config.version < table.config.version:
            # A stale answer: adopting it would revert a change that callers have seen.
            log_event(
                "config.older",
                version=config.version,
                in_force=table.config.version,
                **_position_fields(value.position),
            )
            return config.version
        self._view.active_config = ConfigUpdate(config.version, value)
        self._view.table = RoutingTable(config)
        self._view.directory.set_layers(
            {
                name: service.engine.layers
                for name, service in config.service_by_name.items()
                if service.engine is not None
            }
        )
        self._on_limits(config.limits)
        log_event(
            "config.in_force",
            version=config.version,
            **_position_fields(value.position),
            routes=len(config.routes),
            keys=len(config.workspace_by_key),
            after_s=round(started_at - requested_at, 3),
            decode_s=round(self._view.clock.now() - started_at, 3),
        )
        return config.version


class TargetFollower:
    """Keeps the directory of targets in step with the store."""

    __slots__ = ("_follower", "_history", "_view")

    def __init__(self, store: ObjectStore, view: RouterView):
        self._view = view
        self._follower = StoreFollower(
            store,
            view,
            TARGETS_KIND,
            self._wait_s,
            self._due_in_s,
            margin=AnswerMargin(),
            confirms_waits=True,
        )
        self._history = EntryHistory()
        view.on_target_updates = self._apply_peer_updates

    def _wait_s(self) -> float:
        view = self._view
        return watch_wait_s(view.drain_s, view.list_age_s(), view.watch_duty.shared)

    def _due_in_s(self) -> float:
        view = self._view
        return view.watch_duty.targets_due_in_s(view.clock.now(), view.drain_s)

    def _confirm(self, confirms_at: float) -> None:
        self._view.watch_duty.record_list_confirmation(confirms_at)
        if self._view.watch_duty.reports_to_zone:
            self._view.list_confirmations.add(confirms_at)

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Follow until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._expire)
            task_status.started()
            await self._follower.follow(
                self._apply_listing, self._apply_changes, self._handle_failure
            )

    def _apply_listing(self, listing: Listing, confirms_at: float) -> None:
        record_by_id = {}
        is_first = self._history.listed is None
        is_new_era = self._history.begin_list(
            listing.position, {value.name: value.position for value in listing.values}
        )
        for value in listing.values:
            with self._view.boundary.contain("target.read", value.name):
                record = self._listed_record(value, is_new_era)
                if record is not None:
                    record_by_id[value.name] = record
        now = self._view.clock.now()
        replacement = self._view.directory.replace_all(record_by_id, now)
        for removal in replacement.removals:
            self._log_removal(removal, listing.position, "listing")
        if self._view.watch_duty.reports_to_zone and not is_first:
            self._forward_replacement(listing, replacement)
        self._confirm(confirms_at)
        log_event(
            "targets.listed",
            targets=len(record_by_id),
            first_of_era=is_new_era,
            **_position_fields(listing.position),
        )
        self._view.notify_capacity_freed()

    def _listed_record(
        self, value: StoredValue, is_new_era: bool
    ) -> TargetRecord | None:
        """Return a listed target; what is known of it if its entry is older."""
        entry, directory = _read_entry(value), self._view.directory
        if entry is None:
            return None
        was_removed = directory.was_removed(entry.record)
        if not self._history.is_outdated(entry, is_new_era, was_removed):
            return entry.record
        kept = directory.find(value.name) if directory.is_listed(value.name) else None
        log_event(
            "target.older_entry",
            target=value.name,
            phase=str(entry.record.phase),
            beats=entry.beats,
            kept=kept is not None,
            **_position_fields(value.position),
        )
        return kept

    def _forward_replacement(self, listing: Listing, replacement: Replacement) -> None:
        """Forward what a listing changed after the store's history was lost."""
        value_by_id = {value.name: value for value in listing.values}
        updates = [
            TargetUpdate.at(each, value_by_id[each].position, value_by_id[each].spec)
            for each in replacement.changed_ids
        ]
        updates += [
            TargetUpdate.at(removal.id, listing.position, None)
            for removal in replacement.removals
            if not removal.held
        ]
        for update in updates:
            self._view.target_updates.add(update)

    def _apply_changes(self, changes: Changes, confirms_at: float) -> None:
        for change in changes.changes:
            with self._view.boundary.contain("target.apply", change.value.name):
                self._apply_change(change, changes.position)
        self._confirm(confirms_at)
        if changes.changes:
            self._view.notify_capacity_freed()

    def _apply_change(self, change: Change, position: Position) -> None:
        value = change.value
        known = self._history.note_change(value.name, value.position)
        if change.deleted:
            changed = self._remove(value.name, position, "store")
        else:
            changed = self._update(value, "store")
        if changed and self._view.watch_duty.shared:
            spec = None if change.deleted else value.spec
            update = TargetUpdate.at(value.name, known, spec)
            self._view.target_updates.add(update)

    def _apply_peer_updates(self, items: list[TargetUpdate]) -> None:
        """Apply updates from another host, which may arrive late or twice."""
        for item in items:
            with self._view.boundary.contain("target.apply", item.target_id):
                self._apply_peer_update(item)
        self._view.notify_capacity_freed()

    def _apply_peer_update(self, item: TargetUpdate) -> None:
        position, is_removal = item.position, item.spec is None
        if not position.era:
            # Hosts of older builds name none.
            position = Position(self._view.eras.known, item.revision)
        if not self._history.accepts_update(item.target_id, position, is_removal):
            return
        if is_removal:
            self._remove(item.target_id, position, "peer")
        else:
            value = StoredValue(item.target_id, position, item.spec)
            self._update(value, "peer")

    def _update(self, value: StoredValue, source: str) -> bool:
        """Apply a target's entry; return whether the list changed."""
        entry = _read_entry(value)
        if entry is None:
            is_known = self._view.directory.find(value.name) is not None
            return is_known and self._remove(value.name, value.position, source)
        self._history.note_written(entry)
        record = entry.record
        before = self._view.directory.find(record.id)
        changed = self._view.directory.update(record, self._view.clock.now())
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
                fits_model=self._view.directory.fits_model(record),
                source=source,
                **_position_fields(value.position),
            )
        return changed

    def _remove(self, target_id: str, position: Position, source: str) -> bool:
        """Remove a target from the list; return whether it is gone from it now."""
        directory, now = self._view.directory, self._view.clock.now()
        removal = directory.remove(target_id, now)
        if not removal.held:
            self._history.forget(target_id)
        self._log_removal(removal, position, source)
        return not removal.held

    def _log_removal(self, removal: Removal, position: Position, source: str) -> None:
        log_event(
            "target.removed",
            target=removal.id,
            held=removal.held,
            source=source,
            **_position_fields(position),
        )

    def _handle_failure(self, problem: Fault) -> None:
        if self._history.listed is None:
            # No entry that this host knows can have expired yet.
            return
        follower = self._follower
        self._view.directory.record_store_failure(
            follower.requested_at, follower.failures
        )

    async def _expire(self) -> None:
        while True:
            await sleep_to_tick(EXPIRY_CHECK_S)
            with self._view.boundary.contain("targets.expire"):
                now = self._view.clock.now()
                for target_id in self._view.directory.expire_missing(now):
                    self._history.forget(target_id)
                    log_event("target.expired", target=target_id)


def _read_entry(value: StoredValue) -> Entry | None:
    """Return a target's entry; None, with a log line, if it names no target."""
    decoded = decode_target(value.name, value.spec)
    if decoded.is_ok():
        return Entry(decoded.ok, value.position, read_beats(value.spec))
    log_event(
        "target.unreadable",
        target=value.name,
        code=int(decoded.error.code),
        detail=decoded.error.detail,
    )
    return None


def _position_fields(position: Position | None) -> dict[str, int]:
    """Return the fields of a log line that name a position of the store."""
    if position is None:
        return {}
    return {"era": position.era, "revision": position.revision}
