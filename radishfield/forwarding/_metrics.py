"""The HTTP page with the counters and histograms that operators scrape."""

from radishfield.forwarding._targets import Targets
from radishfield.forwarding._view import RouterView
from radishfield.telemetry import DeferredTelemetry
from radishfield.web import ApiCaller, send_bytes, serve_scope

TEXT_TYPE = b"text/plain; version=0.0.4"


class MetricsPage:
    """Serves the metrics of one router."""

    __slots__ = ("_telemetry",)

    def __init__(
        self,
        telemetry: DeferredTelemetry,
        store_calls: ApiCaller,
        targets: Targets,
        view: RouterView,
    ):
        self._telemetry = telemetry
        watch = telemetry.watch
        watch(
            "store_calls",
            "Calls to the object store.",
            lambda: sum(store_calls.calls_by_kind.values()),
        )
        watch(
            "store_faults",
            "Calls to the object store that failed.",
            lambda: sum(store_calls.faults_by_code.values()),
        )
        watch(
            "config_reads",
            "Answers of the store that held the configuration.",
            lambda: view.config_reads,
        )
        watch(
            "streams_cut",
            "Streams whose callers had some events and not the last one.",
            lambda: view.streams_cut,
        )
        watch(
            "tokens_asked",
            "Tokens of limited targets that this host asked others for.",
            lambda: view.limits.asked,
        )
        watch(
            "tokens_issued",
            "Tokens of limited targets that this host gave to others.",
            lambda: view.limits.issued,
        )
        watch("reports", "Targets asked for a report.", lambda: targets.reports)
        watch(
            "orders",
            "Orders given to targets.",
            lambda: sum(targets.orders_by_status.values()),
        )
        watch(
            "connections_opened",
            "To targets.",
            lambda: targets.sum_connections(lambda pool: pool.opened),
        )
        watch(
            "connections_reused",
            "Requests sent to targets over a connection that was used before.",
            lambda: targets.sum_connections(lambda pool: pool.reused),
        )
        watch(
            "connections_surplus",
            "Connections on which a target sent bytes that belong to no request.",
            lambda: targets.sum_connections(lambda pool: pool.surplus),
        )
        watch(
            "answers_foreign",
            "Answers of targets without the id of the request.",
            lambda: targets.foreign_answers,
        )
        watch(
            "answers_malformed",
            "Answers of targets that are not of the protocol's form.",
            lambda: targets.sum_connections(lambda pool: pool.malformed),
        )
        watch(
            "targets_age_seconds",
            "Seconds since the list of targets was last known to be current.",
            view.list_age_s,
        )
        watch("in_flight", "Requests in flight.", lambda: view.in_flight)
        watch("known_hosts", "Entry hosts, this one included.", lambda: view.hosts)
        watch(
            "config_version",
            "Version in force; 0 before the first.",
            lambda: view.table.config.version if view.table else 0,
        )

    async def __call__(self, scope, receive, send):
        """Serve one scope of the HTTP server."""
        await serve_scope(scope, receive, send, self._serve)

    async def _serve(self, scope, receive, send) -> None:
        await send_bytes(send, 200, self._telemetry.exposition(), TEXT_TYPE)
