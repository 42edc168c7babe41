"""Builds the services of an entry host and connects them."""

import msgspec
import trio
import xxhash

from radishfield.core import (
    Clock,
    Member,
    StoredObject,
    SystemClock,
)
from radishfield.crashes import CrashGuard
from radishfield.decisions import Scheduler
from radishfield.edges import (
    AbsentPlatform,
    CallerApp,
    CallerLimits,
    EngineTargets,
    GatedListener,
    HttpPlatform,
    ListenerConfig,
    LonePeer,
    MetricsApp,
    OperatorApp,
    PeerKey,
    PeerNetwork,
    PeerSettings,
)
from radishfield.edges import PlatformSettings as CallSettings
from radishfield.fleet import (
    Claims,
    ClaimSettings,
    FactSpreader,
    FactTable,
    FleetOperations,
    FleetParts,
    LeaseKeeper,
    LeaseSettings,
    LoadPoller,
    OrderSender,
    OrderSettings,
    PlacementPlanner,
    PlacementSettings,
    PlatformWatcher,
    PollerSettings,
    ProfileStore,
    SpreadSettings,
    TargetDirectory,
    WatcherSettings,
)
from radishfield.kernel import Kernel
from radishfield.limits import AccountLimits
from radishfield.scripts._fleet_metrics import watch_fleet
from radishfield.serving import (
    CrashSharing,
    Dispatcher,
    FleetView,
    TargetCrashes,
    check_target_listening,
)
from radishfield.settings import EntrySettings, MetricsExport
from radishfield.telemetry import (
    NullTelemetry,
    RequestRecords,
    Telemetry,
    TelemetryObserver,
)
from radishfield.web import HostResources

# Objects from the settings file are older than any object of the platform, whose
# first version is 1.
SETTINGS_VERSION = 0
SINGLE_HOST_INCARNATION = 1
# A frame identifies its key by one byte.
KEY_NUMBER_COUNT = 256
PLACEMENT_DUTY = "placement"


class EntryHost:
    """The services of one entry host, registered by name in a kernel.

    Services start in order of registration: a service is registered after those
    that it needs, and the callers' listener opens last.
    """

    __slots__ = ("kernel", "_settings", "_clock")

    def __init__(self, settings: EntrySettings, clock: Clock | None = None):
        self.kernel = Kernel()
        self._settings = settings
        self._clock = clock or SystemClock()
        self._add_fleet()
        self._add_serving()
        self._add_listeners()

    @property
    def caller_app(self) -> CallerApp:
        """Return the callers' application."""
        return self.kernel.find("caller-app", CallerApp)

    async def run(self, stop: trio.Event) -> None:
        """Serve until ``stop`` is set, then leave gracefully."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.kernel.run)
            await stop.wait()
            await self._leave()
            nursery.cancel_scope.cancel()

    async def _leave(self) -> None:
        """Let the load balancer notice, notify peers and finish requests in flight.

        Peers are notified before the requests finish, so that they take over this
        host's share of the targets and its duties meanwhile.
        """
        self.caller_app.start_draining()
        await self.kernel.find("peers", object).announce_leaving()
        with trio.move_on_after(self._settings.drain.timeout_s):
            await self.caller_app.wait_idle()
        await self.kernel.drain()

    def _add_fleet(self) -> None:
        settings, kernel = self._settings, self.kernel
        kernel.register(
            "platform", self._make_platform(settings.platform.max_calls_per_s)
        )
        kernel.register("peers", self._make_peers())
        kernel.register("facts", self._make_facts())
        self._add_directory()
        self._add_spreading()
        self._add_placement_lease()
        self._add_operations()

    def _add_directory(self) -> None:
        kernel = self.kernel
        facts = kernel.find("facts", FactTable)
        peers = kernel.find("peers", object)
        platform = kernel.find("platform", object)
        kernel.register("profiles", ProfileStore(platform, facts))
        zone = self._settings.host.zone
        kernel.register("directory", TargetDirectory(zone, facts, peers, self._clock))

    def _add_spreading(self) -> None:
        """Add what receives facts from peers and, while watching, the platform."""
        host, platform = self._settings.host, self._settings.platform
        kernel, clock = self.kernel, self._clock
        facts = kernel.find("facts", FactTable)
        peers = kernel.find("peers", object)
        spread_settings = SpreadSettings(host.id, host.zone)
        kernel.register("spreader", FactSpreader(spread_settings, peers, facts, clock))
        watcher_settings = WatcherSettings(
            host.id,
            host.zone,
            platform.watch_s,
            platform.list_period_s,
            platform.hosts_period_s,
        )
        watcher = PlatformWatcher(
            watcher_settings,
            kernel.find("platform", object),
            peers,
            facts,
            clock,
            on_hosts=kernel.find("directory", TargetDirectory).observe_hosts,
        )
        kernel.register("watcher", watcher)

    def _add_placement_lease(self) -> None:
        host, leases = self._settings.host, self._settings.leases
        kernel = self.kernel
        settings = LeaseSettings(
            PLACEMENT_DUTY,
            host.zone,
            host.id,
            leases.duration_s,
            leases.renew_s,
            leases.longest_order_s,
        )
        platform = kernel.find("platform", object)
        peers = kernel.find("peers", object)
        lease = LeaseKeeper(settings, platform, peers, self._clock)
        kernel.register("placement-lease", lease)

    def _add_operations(self) -> None:
        host, kernel = self._settings.host, self.kernel
        parts = FleetParts(
            host.id,
            host.zone,
            kernel.find("platform", object),
            kernel.find("facts", FactTable),
            kernel.find("profiles", ProfileStore),
            kernel.find("directory", TargetDirectory),
            kernel.find("peers", object),
            kernel.find("watcher", PlatformWatcher),
            self._clock,
            (kernel.find("placement-lease", LeaseKeeper),),
        )
        kernel.register("operations", FleetOperations(parts))

    def _make_platform(self, calls_per_s: float) -> HttpPlatform | AbsentPlatform:
        """Return a client of the platform with its own budget of calls.

        Claims have a separate budget: a claim that waits behind lists and watches
        delays a caller, and a burst of claims must not delay profile updates.
        """
        platform = self._settings.platform
        if not platform.address:
            return AbsentPlatform()
        call_settings = CallSettings(
            platform.address,
            self._settings.host.id,
            platform.call_timeout_s,
            calls_per_s=calls_per_s,
        )
        return HttpPlatform(call_settings, self._clock)

    def _make_peers(self) -> PeerNetwork | LonePeer:
        host, peers = self._settings.host, self._settings.peers
        if not peers.bind:
            return LonePeer(Member(host.id, host.zone, "", SINGLE_HOST_INCARNATION))
        ordered = sorted(peers.keys, key=lambda key: key.id != peers.active_key)
        keys = tuple(PeerKey(key_number(key.id), key.secret) for key in ordered)
        settings = PeerSettings(host.id, host.zone, peers.bind, keys, peers.seeds)
        return PeerNetwork(settings, self._clock)

    def _make_facts(self) -> FactTable:
        facts = FactTable()
        for target in self._settings.targets:
            value = msgspec.json.encode(target)
            facts.learn(StoredObject("target", target.id, SETTINGS_VERSION, value))
        for profile in self._settings.profiles:
            value = msgspec.json.encode(profile)
            facts.learn(StoredObject("profile", profile.name, SETTINGS_VERSION, value))
        facts.is_filled = not self._settings.platform.address
        return facts

    def _make_telemetry(self) -> Telemetry:
        if self._settings.metrics.export is MetricsExport.OFF:
            return NullTelemetry()
        return Telemetry()

    def _add_serving(self) -> None:
        kernel, clock = self.kernel, self._clock
        telemetry, records = self._make_telemetry(), RequestRecords()
        kernel.register("telemetry", telemetry)
        kernel.register("records", records)
        kernel.register("targets", EngineTargets())
        kernel.register("claims", self._make_claims())
        self._add_placement()
        guard = CrashGuard(self._settings.host.id, clock)
        host, peers = self._settings.host, kernel.find("peers", object)
        spread_settings = SpreadSettings(host.id, host.zone)
        kernel.register("crash-sharing", CrashSharing(spread_settings, peers, guard))
        dispatcher = Dispatcher(
            Scheduler(),
            kernel.find("targets", EngineTargets),
            clock,
            kernel.find("claims", Claims),
            claim_s=self._settings.claims.keep_s,
            observer=TelemetryObserver(telemetry, records, clock),
            crashes=TargetCrashes(guard, check_target_listening),
        )
        kernel.register("dispatcher", dispatcher)
        self._add_views()

    def _make_claims(self) -> Claims:
        host, claims = self._settings.host, self._settings.claims
        settings = ClaimSettings(
            host.id,
            host.zone,
            ask_timeout_s=claims.ask_timeout_s,
            max_kept=claims.max_kept,
        )
        platform = self._make_platform(claims.max_calls_per_s)
        peers = self.kernel.find("peers", object)
        return Claims(platform, peers, self._clock, settings)

    def _add_placement(self) -> None:
        """Add the sender of orders and, if enabled, the planner that proposes them."""
        orders, placement = self._settings.orders, self._settings.placement
        kernel = self.kernel
        lease = kernel.find("placement-lease", LeaseKeeper)
        directory = kernel.find("directory", TargetDirectory)
        sender = OrderSender(
            OrderSettings(orders.timeout_s, orders.load_interval_s, orders.load_s),
            lease,
            kernel.find("targets", EngineTargets),
            directory,
            self._clock,
        )
        kernel.register("order-sender", sender)
        if not placement.enabled:
            return
        planner_settings = PlacementSettings(
            self._settings.host.zone,
            placement.period_s,
            placement.layers_per_s,
            placement.concurrent_loads,
        )
        links = self._settings.links
        planner = PlacementPlanner(planner_settings, lease, directory, sender, links)
        kernel.register("placement", planner)

    def _add_views(self) -> None:
        """Keep the dispatcher's view of targets, and of their load, up to date."""
        host, kernel = self._settings.host, self.kernel
        directory = kernel.find("directory", TargetDirectory)
        dispatcher = kernel.find("dispatcher", Dispatcher)
        view = FleetView(directory, dispatcher, host.zone, self._settings.links)
        kernel.register("fleet-view", view)
        poller = LoadPoller(
            PollerSettings(host.id, host.zone),
            kernel.find("targets", EngineTargets),
            directory,
            kernel.find("peers", object),
            kernel.find("facts", FactTable),
            self._clock,
            dispatcher.observe_load,
        )
        kernel.register("poller", poller)

    def _add_listeners(self) -> None:
        settings, kernel = self._settings, self.kernel
        caller = settings.caller
        app = CallerApp(
            kernel.find("dispatcher", Dispatcher),
            kernel.find("profiles", ProfileStore),
            self._clock,
            CallerLimits.from_settings(settings),
            kernel.find("telemetry", Telemetry),
            kernel.find("records", RequestRecords),
        )
        kernel.register("caller-app", app)
        telemetry = kernel.find("telemetry", Telemetry)
        telemetry.watch("in_flight", "Requests being served.", lambda: app.in_flight)
        dispatcher = kernel.find("dispatcher", Dispatcher)
        telemetry.watch("queue", "Requests that wait.", lambda: dispatcher.queued)
        watch_fleet(telemetry, kernel)
        config = ListenerConfig.from_settings(
            caller.bind, caller.tls_cert, caller.tls_key, settings.drain.timeout_s
        )
        if settings.operator.bind:
            self._add_operator_listener()
        if settings.metrics.bind and settings.metrics.export is MetricsExport.SCRAPE:
            self._add_metrics_listener()
        resources = HostResources.from_system(
            settings.resources.memory_bytes, settings.resources.open_files
        )
        limits = AccountLimits.from_resources(
            resources.memory_bytes, resources.open_files, config.ssl_enabled
        )
        kernel.register("caller-listener", GatedListener(app, config, limits=limits))

    def _add_operator_listener(self) -> None:
        settings, kernel = self._settings, self.kernel
        operator = settings.operator
        app = OperatorApp(
            kernel.find("operations", FleetOperations),
            kernel.find("records", RequestRecords),
            kernel.find("telemetry", Telemetry),
            operator.token,
            settings.host.id,
        )
        config = ListenerConfig.from_settings(
            operator.bind, operator.tls_cert, operator.tls_key
        )
        kernel.register(
            "operator-listener", GatedListener(app, config, name="operators")
        )

    def _add_metrics_listener(self) -> None:
        app = MetricsApp(self.kernel.find("telemetry", Telemetry))
        config = ListenerConfig.from_settings(self._settings.metrics.bind)
        listener = GatedListener(app, config, name="metrics")
        self.kernel.register("metrics-listener", listener)


def key_number(key_id: str) -> int:
    """Return the number by which frames identify a key from the settings.

    The sealer refuses two keys with the same number at the start; the operator
    then has to give one of them another id.
    """
    return xxhash.xxh32_intdigest(key_id.encode()) % KEY_NUMBER_COUNT
