"""Keeps the account of each layered service's room and demand up to date."""

from collections.abc import Mapping, Sequence

import msgspec
import trio

from radishfield.capacity import ServiceAdmission
from radishfield.core import sleep_to_tick
from radishfield.forwarding._view import RouterView
from radishfield.routing import (
    MAX_PRIORITY,
    RoutingConfig,
    ServiceSpec,
    TargetRecord,
    ranks_of,
    stream_room,
    stream_totals,
)
from radishfield.telemetry import DeferredTelemetry, log_event

UPDATE_INTERVAL_S = 0.25
"""Interval of the updates: that of the statuses which bring the demand of others."""
MIN_TOTALS_AGE_S = 1.0
"""Interval at which the flow through the targets is computed again, if they change: a
release changes them several times a second, and a flow takes some milliseconds."""
LOG_INTERVAL_S = 1.0


class _Totals(msgspec.Struct, frozen=True):
    """The streams that targets carry, for one version of the directory.

    Attributes
    ----------
    streams : tuple
        In all and by zone, see `stream_totals`.
    """

    version: int
    computed_at: float
    streams: tuple[float, Mapping[str, float]]


class DemandMonitor:
    """Updates the admission of every layered service from what all hosts know."""

    __slots__ = ("_config", "_logged_by_service", "_totals_by_service", "_view")

    def __init__(self, view: RouterView, telemetry: DeferredTelemetry):
        self._view = view
        self._config: RoutingConfig | None = None
        self._totals_by_service: dict[str, _Totals] = {}
        self._logged_by_service: dict[str, tuple[float, int, tuple[str, ...]]] = {}
        for priority in range(MAX_PRIORITY + 1):
            telemetry.watch(
                f"streams_rejected_priority_{priority}",
                f"New streams of priority {priority} rejected for want of room.",
                lambda priority=priority: view.rejected_by_priority[priority],
            )
        telemetry.watch(
            "streams_rejected_over_share",
            "New streams rejected since their workspace held its share.",
            lambda: view.rejected_over_share,
        )
        telemetry.watch(
            "stream_room",
            "Streams of typical size that the targets of all services carry.",
            lambda: self._sum(lambda room: room.total),
        )
        telemetry.watch(
            "stream_room_used",
            "Streams of typical size that run there now, at all hosts.",
            lambda: self._sum(lambda room: room.used),
        )

    def _sum(self, amount) -> float:
        admissions = self._view.admission_by_service.values()
        return sum(amount(item.room) for item in admissions if item.room is not None)

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Update the accounts until cancelled."""
        task_status.started()
        while True:
            await sleep_to_tick(UPDATE_INTERVAL_S)
            if self._view.table is not None:
                with self._view.boundary.contain("demand.update"):
                    self.update(self._view.table.config)

    def update(self, config: RoutingConfig) -> None:
        """Update all accounts now."""
        if config is not self._config:
            self._config = config
            self._apply_config(config)
        for admission in self._view.admission_by_service.values():
            service = config.service_by_name[admission.service]
            self._update_service(service, admission)

    def _apply_config(self, config: RoutingConfig) -> None:
        """Switch admission on for the services whose configuration calls for it."""
        view, settings = self._view, self._view.admission_settings
        admission_by_service = {}
        for service in config.service_by_name.values():
            if service.engine is None:
                continue
            ranks = ranks_of(config, service.name)
            ranks_differ = len(ranks) > 1
            by_rank = settings.by_rank.decide(ranks_differ)
            by_share = settings.workspace_shares.decide(
                ranks_differ and config.keys_required
            )
            if not (by_rank or by_share):
                continue
            admission = view.admission_by_service.get(service.name)
            if admission is None:
                admission = ServiceAdmission(service.name)
            if (admission.by_rank, admission.by_share) != (by_rank, by_share):
                log_event(
                    "admission.rules",
                    service=service.name,
                    by_rank=by_rank,
                    by_share=by_share,
                    ranks=ranks,
                    config_version=config.version,
                )
            admission.by_rank, admission.by_share = by_rank, by_share
            admission.ranks = ranks
            admission_by_service[service.name] = admission
        view.admission_by_service = admission_by_service

    def _update_service(
        self, service: ServiceSpec, admission: ServiceAdmission
    ) -> None:
        view, now = self._view, self._view.clock.now()
        records = view.directory.usable(service.name, now)
        totals = self._totals(service, records, now)
        stream_s = view.admission_queue(service.name).typical_stream_s
        room = stream_room(service.engine, totals, records, view.load)
        own = admission.meter.report(service.name, now)
        fleet = view.demands.fleet(own, view.zone, now)
        admission.update(room, fleet, stream_s, now)
        self._log(admission, now)

    def _totals(
        self, service: ServiceSpec, records: Sequence[TargetRecord], now: float
    ) -> tuple[float, Mapping[str, float]]:
        version = self._view.directory.version
        known = self._totals_by_service.get(service.name)
        if known is not None and (
            known.version == version or now - known.computed_at < MIN_TOTALS_AGE_S
        ):
            return known.streams
        streams = stream_totals(service.engine, records)
        self._totals_by_service[service.name] = _Totals(version, now, streams)
        return streams

    def _log(self, admission: ServiceAdmission, now: float) -> None:
        """Log which work has to leave room to other work, when that changes."""
        rank, names = admission.lowest_rank(), tuple(admission.workspaces_over_share())
        logged = self._logged_by_service.get(admission.service)
        if logged is None:
            self._logged_by_service[admission.service] = (now, rank, names)
            return
        logged_at, *before = logged
        if before == [rank, names] or now - logged_at < LOG_INTERVAL_S:
            return
        self._logged_by_service[admission.service] = (now, rank, names)
        log_event(
            "admission.level",
            service=admission.service,
            lowest_rank=rank,
            lowest_rank_before=before[0],
            since_s=round(now - logged_at, 2),
            room=round(admission.room.total, 1),
            used=round(admission.room.used, 1),
            starts_per_s={
                item.rank: round(item.starts_per_s, 1)
                for item in admission.demand.ranks
            },
            over_share=list(names),
            share=_rounded(admission.share_level),
        )


def _rounded(level: float) -> float | None:
    return None if level == float("inf") else round(level, 1)
