"""Assembles the services of a router, runs them and shuts them down gracefully."""

import logging
import signal
import sys
from pathlib import Path

import trio
from expression import Result

from radishfield.core import Fault, SystemClock
from radishfield.forwarding._app import ReadinessApp, RouterApp
from radishfield.forwarding._caller_gate import CallerGate
from radishfield.forwarding._connections import TargetConnections
from radishfield.forwarding._crash_records import CrashRecords
from radishfield.forwarding._crash_watch import CrashWatch
from radishfield.forwarding._demand_monitor import DemandMonitor
from radishfield.forwarding._early_signals import early_reload
from radishfield.forwarding._follower import ConfigFollower, TargetFollower
from radishfield.forwarding._gossip import Gossip
from radishfield.forwarding._limit_checks import LimitChecks
from radishfield.forwarding._load_monitor import LoadMonitor
from radishfield.forwarding._metrics import MetricsPage
from radishfield.forwarding._placer import Placer
from radishfield.forwarding._plain import PlainForwarder
from radishfield.forwarding._streams import StreamForwarder
from radishfield.forwarding._target_ends import TargetProbe
from radishfield.forwarding._targets import Targets
from radishfield.forwarding._view import RouterView
from radishfield.forwarding._watchdog import StreamWatchdog
from radishfield.kernel import Kernel, WorkBoundary
from radishfield.limits import AccountLimits, RetryAllowance
from radishfield.platform import READY_PATH, ObjectStore
from radishfield.relay import RelayKey, RelayServer, TargetDialer, watch_relay
from radishfield.routing import (
    END_MARGIN_S,
    NOTICE_S,
    STORE_IDLE_S,
    Freshness,
    RequestLimits,
)
from radishfield.settings import (
    ROUTER_SECTIONS,
    AdmissionSettings,
    EntrySettings,
    GossipSettings,
    LayoutSettings,
    PlainSettings,
    PromisesSettings,
    ReadinessSettings,
)
from radishfield.telemetry import (
    DeferredTelemetry,
    LineWriter,
    LogSetup,
    configure_logs,
    log_event,
)
from radishfield.web import (
    ApiAddress,
    ApiCaller,
    CallBudget,
    GatedListener,
    HostResources,
    ListenerConfig,
)

CLOSE_S = 0.4
"""Time after the last accepted request in which kept connections are closed."""
DRAIN_CHECK_INTERVAL_S = 0.05
IDLE_SLACK_S = 1.0
"""Callers may reuse an idle connection up to the idle limit, so it is closed a little
later: a request that is sent while the connection closes would be lost."""
IDLE_LIMIT_FACTOR = 2.0
"""Multiple of the idle limit after which a connection is closed: a configuration
version that raises the limit does not change the timers that already run."""
HEAD_SLACK_S = 1.0
"""A head may be read later than it arrives, by as much as this host is late."""
REQUEST_LINE_BYTES = 4 << 10
"""The operators' limit is one of the header fields; the request's line comes before."""
CLOSE_IDLE_INTERVAL_S = 1.0
RELOAD_CHECK_INTERVAL_S = 2.0
MAX_REQUESTS_PER_CONNECTION = 1_000_000_000
STORE_BURST = 100.0
"""Calls that may be made without a pause: a start that lists several pages, or the
orders of a whole fleet under a lease, take some tens of calls."""


class _CallerListener(ListenerConfig):
    """Callers reuse connections for many requests, and choose their own idle times."""

    keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    include_date_header = False


class IdleConnections:
    """Closes idle connections to targets."""

    __slots__ = ("_boundary", "_connections")

    def __init__(self, boundary: WorkBoundary, *connections: TargetConnections):
        self._boundary = boundary
        self._connections = connections

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Close idle connections until cancelled."""
        task_status.started()
        while True:
            await trio.sleep(CLOSE_IDLE_INTERVAL_S)
            for connections in self._connections:
                await self._boundary.complete(
                    "connections.close_idle", "", connections.close_idle
                )


class Router:
    """All services of a router process, registered by name in one kernel."""

    __slots__ = ("_caller_config", "_kernel", "_promises", "_resources", "view")

    def __init__(self, settings: EntrySettings, lines: LineWriter | None = None):
        self._kernel = Kernel()
        self._promises = settings.section("promises", PromisesSettings)
        resources = settings.resources
        self._resources = HostResources.from_system(
            resources.memory_bytes, resources.open_files
        )
        clock = SystemClock()
        self.view = RouterView(
            settings.host.zone,
            clock,
            RetryAllowance(
                self._promises.retry_ratio,
                self._promises.retry_window_s,
                self._promises.retry_slack,
            ),
            Freshness(self._promises.revoke_s),
            self._promises.grace_s,
            self._promises.drain_s,
            started_at=clock.now(),
            host_id=settings.host.id,
            admission_settings=settings.section("admission", AdmissionSettings),
            layout_settings=settings.section("layout", LayoutSettings),
            plain_settings=settings.section("plain", PlainSettings),
        )
        self._caller_config = _CallerListener.from_settings(
            settings.caller.bind, drain_s=0.0
        )
        self._limit_callers(RequestLimits())
        telemetry = DeferredTelemetry()
        if lines is not None:
            lines.contain = self.view.boundary.contain
            self._kernel.register("lines", lines)
        self._register(settings, clock, telemetry)

    def _register(
        self, settings: EntrySettings, clock: SystemClock, telemetry: DeferredTelemetry
    ) -> None:
        view, register = self.view, self._kernel.register
        budget = CallBudget(
            settings.platform.max_calls_per_s, STORE_BURST, STORE_BURST, clock.now()
        )
        address = ApiAddress(settings.platform.address, keepalive_s=STORE_IDLE_S)
        store_calls = ApiCaller(address, budget, clock)
        store = ObjectStore(store_calls, view.eras)
        view.eras.on_change.append(store_calls.renew_connections)
        gossip = settings.section("gossip", GossipSettings)
        key = RelayKey(store, clock, view.boundary) if gossip.bind else None
        if key is not None:
            view.eras.on_change.append(key.reread)
        dialer = TargetDialer(
            settings.host.id,
            settings.host.zone,
            key,
            view.target_links,
            clock,
            lambda: view.find_relays(),
        )
        connections, control_connections = (
            TargetConnections(clock, view.target_links, dialer, view.boundary)
            for _ in range(2)
        )
        targets = Targets(connections, control_connections, view, telemetry)
        watchdog = StreamWatchdog(targets, view)
        telemetry.watch(
            "store_era",
            "Newest era of the platform's store that this host knows.",
            lambda: view.eras.known,
        )
        telemetry.watch(
            "store_older_answers",
            "Answers of an older era of the store that were left out.",
            lambda: view.eras.older_answers,
        )
        telemetry.watch(
            "defects_contained",
            "Exceptions that ended the work for one target, entry or host only.",
            lambda: view.boundary.defects,
        )
        telemetry.watch(
            "slow_targets_found",
            "Times that a target was found slower than its kind.",
            lambda: watchdog.slow_found,
        )
        telemetry.watch(
            "targets_unheard",
            "Late answers of targets that were no verdict: this host was late itself.",
            lambda: watchdog.unheard,
        )
        telemetry.watch(
            "held_up_seconds",
            "Seconds in which this host was held up between checks of its streams.",
            lambda: watchdog.held_up_s,
        )
        placer = Placer(settings.host.id, store, targets, view)
        crashes = CrashWatch(
            settings.host.id,
            TargetProbe(targets, dialer),
            CrashRecords(store, view),
            view,
        )
        telemetry.watch(
            "target_ends_counted",
            "Ends of targets that this host counted under the requests they ran.",
            lambda: view.crashes.counted,
        )
        telemetry.watch(
            "suspected_requests",
            "Requests under which targets ended, now.",
            lambda: len(view.crashes.book),
        )
        plain = PlainForwarder(targets, crashes, view)
        streams = StreamForwarder(targets, watchdog, crashes, view, telemetry)
        register("config", ConfigFollower(store, view, self._limit_callers))
        register("targets", TargetFollower(store, view))
        register("watchdog", watchdog)
        register("crashes", crashes)
        register("placer", placer)
        register(
            "connections",
            IdleConnections(view.boundary, connections, control_connections),
        )
        register("limit_checks", LimitChecks(targets, view))
        register("load", LoadMonitor(view, telemetry))
        register("demand", DemandMonitor(view, telemetry))
        gate = CallerGate(view, telemetry)
        app = RouterApp(plain, streams, gate, view, telemetry)
        callers = GatedListener(
            app,
            self._caller_config,
            gate.judge,
            view.boundary.contain,
            limits=AccountLimits.from_resources(
                self._resources.memory_bytes, self._resources.open_files
            ),
        )
        if key is not None:
            relay = RelayServer(
                gossip.bind,
                key,
                view.target_links,
                clock,
                lambda address: view.directory.at_address(address) is not None,
                lambda: view.leaving,
                view.boundary,
                callers.account,
            )
            view.offers_relay = lambda: key.value is not None
            view.relayed_connections = lambda: relay.open
            register("relay", relay)
            register("relay_key", key)
            watch_relay(telemetry, relay, dialer)
            peers = Gossip(settings.host.id, gossip.bind, store, view, placer.duties)
            register("peers", peers)
            peers.watch_counters(telemetry)
        register("gate", gate)
        register("callers", callers)
        telemetry.watch(
            "connections_accepted",
            "Connections of callers.",
            lambda: callers.accepted,
        )
        telemetry.watch(
            "connections_turned_away",
            "Connections of callers closed unread: others have more time for them.",
            lambda: callers.turned_away,
        )
        telemetry.watch(
            "connections_refused",
            "Connections of callers refused by their first request's head.",
            lambda: callers.refused,
        )
        telemetry.watch(
            "callers_bytes",
            "Memory that callers' connections, heads and bodies are charged with.",
            lambda: callers.account.used_bytes,
        )
        telemetry.watch(
            "callers_gave_way",
            "Connections and bodies that had to give way to others.",
            lambda: callers.account.given_way,
        )
        telemetry.watch(
            "callers_without_room",
            "Connections and bodies for which there was no room.",
            lambda: callers.account.refused,
        )
        readiness = settings.section("readiness", ReadinessSettings)
        if readiness.bind:
            ready = ReadinessApp(READY_PATH, view)
            config = ListenerConfig.from_settings(readiness.bind, drain_s=0.0)
            contain = view.boundary.contain
            register(
                "readiness",
                GatedListener(ready, config, contain=contain, name="readiness"),
            )
        if settings.metrics.bind:
            page = MetricsPage(telemetry, store_calls, targets, view)
            config = ListenerConfig.from_settings(settings.metrics.bind, drain_s=0.0)
            contain = view.boundary.contain
            register(
                "metrics", GatedListener(page, config, contain=contain, name="metrics")
            )

    def _limit_callers(self, limits: RequestLimits) -> None:
        """Apply the operators' limits to connections that are accepted from now on."""
        config = self._caller_config
        config.keep_alive_timeout = (
            IDLE_LIMIT_FACTOR * limits.idle_timeout_s + IDLE_SLACK_S
        )
        config.h11_max_incomplete_size = limits.max_header_bytes + REQUEST_LINE_BYTES
        config.head_timeout_s = limits.header_timeout_s + HEAD_SLACK_S

    async def run(self, stop: trio.Event) -> None:
        """Serve until ``stop`` is set, then drain the requests in flight."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._kernel.run)
            log_event(
                "host.started",
                zone=self.view.zone,
                memory_bytes=self._resources.memory_bytes,
                open_files=self._resources.open_files,
            )
            await stop.wait()
            await self._leave()
            nursery.cancel_scope.cancel()

    async def _leave(self) -> None:
        """Fail readiness, keep serving, and return once nothing is in flight."""
        leave_started_at = self.view.clock.now()
        self.view.leaving_since = leave_started_at
        log_event("host.leaving", in_flight=self.view.in_flight)
        max_s = self._promises.grace_s - END_MARGIN_S
        while (elapsed_s := self.view.clock.now() - leave_started_at) < max_s:
            if elapsed_s >= NOTICE_S + CLOSE_S and self._is_idle():
                break
            await trio.sleep(DRAIN_CHECK_INTERVAL_S)
        log_event(
            "host.left",
            relayed=self.view.relayed_connections(),
            cut_off=self.view.in_flight,
            after_s=round(elapsed_s, 2),
        )

    def _is_idle(self) -> bool:
        """Return whether nothing is in flight, for callers or for other hosts."""
        return self.view.in_flight == 0 and self.view.relayed_connections() == 0


def read_settings(path: str) -> Result[EntrySettings, list[Fault]]:
    """Read a router's settings file."""
    return EntrySettings.from_file(path, ROUTER_SECTIONS)


def run_router(path: str, settings: EntrySettings) -> None:
    """Run a router until a signal ends it."""
    lines = LineWriter(sys.stdout.fileno())
    configure_logs(
        LogSetup(settings.log.level, settings.log.destination, settings.host.id), lines
    )
    try:
        trio.run(_run_until_signal, path, settings, lines)
    finally:
        lines.flush_now()


async def _run_until_signal(
    path: str, settings: EntrySettings, lines: LineWriter
) -> None:
    stop = trio.Event()
    log_event("host.starting", host=settings.host.id, zone=settings.host.zone)
    router = Router(settings, lines)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_wait_signals, stop, path, router.view.boundary)
        nursery.start_soon(_watch_settings, path, router.view.boundary)
        await router.run(stop)
        nursery.cancel_scope.cancel()
    log_event("host.stopped")


async def _wait_signals(stop: trio.Event, path: str, boundary: WorkBoundary) -> None:
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*signals) as received:
        if early_reload.asked:
            with boundary.contain("settings.reload"):
                reload_settings(path, "signal")
        async for number in received:
            if number == signal.SIGHUP:
                with boundary.contain("settings.reload"):
                    reload_settings(path, "signal")
            else:
                stop.set()


async def _watch_settings(path: str, boundary: WorkBoundary) -> None:
    """Reload the settings when the file changes; not every change brings a signal."""
    before = _file_stamp(path)
    while True:
        await trio.sleep(RELOAD_CHECK_INTERVAL_S)
        now = _file_stamp(path)
        if now != before:
            before = now
            with boundary.contain("settings.reload"):
                reload_settings(path, "file")


def _file_stamp(path: str) -> tuple[int, int]:
    try:
        found = Path(path).stat()
    except OSError:
        return (0, 0)
    return (found.st_mtime_ns, found.st_size)


def reload_settings(path: str, reason: str) -> None:
    """Apply the log level; new addresses take effect only after a restart."""
    match read_settings(path):
        case Result(tag="ok", ok=settings):
            logging.getLogger().setLevel(settings.log.level.upper())
            log_event(
                "settings.reloaded", reason=reason, lines_from=str(settings.log.level)
            )
        case Result(tag="error", error=faults):
            details = "; ".join(problem.detail for problem in faults)
            log_event("settings.rejected", reason=reason, detail=details)
