"""Which services an entry host consists of, and how they know each other."""

import msgspec
import trio
import xxhash

from radishfield.core import (
    Clock,
    Member,
    StoredObject,
    SystemClock,
)
from radishfield.decisions import Scheduler
from radishfield.edges import (
    AbsentPlatform,
    CallerApp,
    CallerLimits,
    EngineTargets,
    HttpListener,
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
from radishfield.scripts._fleet_metrics import watch_fleet
from radishfield.serving import Dispatcher, FleetView
from radishfield.settings import EntrySettings, MetricsExport
from radishfield.telemetry import (
    NullTelemetry,
    RequestRecords,
    Telemetry,
    TelemetryObserver,
)

# An object from the settings file is older than any that the platform holds; the
# platform's first version is 1.
SETTINGS_VERSION = 0
LONE_INCARNATION = 1
# A frame names its key in one byte.
KEY_NUMBERS = 256
PLACEMENT_DUTY = "placement"


class EntryHost:
    """The services of one entry host, registered by name in a kernel.

    The order of registration is the order of start: what a service needs
    stands before it, and the callers' listener opens last.
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
        """Announce, let the balancer notice, end what is in flight.

        Peers hear of it first: they take this host's share of the targets and
        its duties while it still ends its own requests.
        """
        self.caller_app.start_draining()
        await self.kernel.find("peers", object).announce_leaving()
        with trio.move_on_after(self._settings.drain.timeout_s):
            await self.caller_app.wait_idle()
        await self.kernel.drain()

    def _add_fleet(self) -> None:
        settings, kernel, clock = self._settings, self.kernel, self._clock
        host, zone = settings.host.id, settings.host.zone
        kernel.register("platform", self._platform(settings.platform.max_calls_per_s))
        kernel.register("peers", self._peers())
        kernel.register("facts", self._facts())
        platform = kernel.find("platform", object)
        peers = kernel.find("peers", object)
        facts = kernel.find("facts", FactTable)
        directory = TargetDirectory(zone, facts, peers, clock)
        kernel.register("profiles", ProfileStore(platform, facts))
        kernel.register("directory", directory)
        kernel.register(
            "spreader", FactSpreader(SpreadSettings(host, zone), peers, facts, clock)
        )
        watcher = PlatformWatcher(
            WatcherSettings(
                host,
                zone,
                settings.platform.watch_s,
                settings.platform.list_period_s,
                settings.platform.hosts_period_s,
            ),
            platform,
            peers,
            facts,
            clock,
            on_hosts=directory.see_hosts,
        )
        kernel.register("watcher", watcher)
        leases = settings.leases
        lease_settings = LeaseSettings(
            PLACEMENT_DUTY,
            zone,
            host,
            leases.duration_s,
            leases.renew_s,
            leases.longest_order_s,
        )
        lease = LeaseKeeper(lease_settings, platform, peers, clock)
        kernel.register("placement-lease", lease)
        parts = FleetParts(
            host,
            zone,
            platform,
            facts,
            kernel.find("profiles", ProfileStore),
            directory,
            peers,
            watcher,
            clock,
            (lease,),
        )
        kernel.register("operations", FleetOperations(parts))

    def _platform(self, calls_per_s: float) -> HttpPlatform | AbsentPlatform:
        """Return a client with a budget of calls of its own.

        Claims have one: a claim that waits behind lists and watches delays a
        caller, and a wave of claims must not keep profiles from arriving.
        """
        platform = self._settings.platform
        if not platform.address:
            return AbsentPlatform()
        calls = CallSettings(
            platform.address,
            self._settings.host.id,
            platform.call_timeout_s,
            calls_per_s=calls_per_s,
        )
        return HttpPlatform(calls, self._clock)

    def _peers(self) -> PeerNetwork | LonePeer:
        host, peers = self._settings.host, self._settings.peers
        if not peers.bind:
            return LonePeer(Member(host.id, host.zone, "", LONE_INCARNATION))
        ordered = sorted(peers.keys, key=lambda key: key.id != peers.active_key)
        keys = tuple(PeerKey(key_number(key.id), key.secret) for key in ordered)
        settings = PeerSettings(host.id, host.zone, peers.bind, keys, peers.seeds)
        return PeerNetwork(settings, self._clock)

    def _facts(self) -> FactTable:
        facts = FactTable()
        for target in self._settings.targets:
            value = msgspec.json.encode(target)
            facts.learn(StoredObject("target", target.id, SETTINGS_VERSION, value))
        for profile in self._settings.profiles:
            value = msgspec.json.encode(profile)
            facts.learn(StoredObject("profile", profile.name, SETTINGS_VERSION, value))
        facts.is_known = not self._settings.platform.address
        return facts

    def _telemetry(self) -> Telemetry:
        if self._settings.metrics.export is MetricsExport.OFF:
            return NullTelemetry()
        return Telemetry()

    def _add_serving(self) -> None:
        settings, kernel, clock = self._settings, self.kernel, self._clock
        directory = kernel.find("directory", TargetDirectory)
        telemetry, records = self._telemetry(), RequestRecords()
        kernel.register("telemetry", telemetry)
        kernel.register("records", records)
        targets = EngineTargets()
        claims = Claims(
            self._platform(self._settings.claims.max_calls_per_s),
            kernel.find("peers", object),
            clock,
            ClaimSettings(
                settings.host.id,
                settings.host.zone,
                ask_timeout_s=settings.claims.ask_timeout_s,
                max_kept=settings.claims.max_kept,
            ),
        )
        kernel.register("claims", claims)
        dispatcher = Dispatcher(
            Scheduler(),
            targets,
            clock,
            claims,
            claim_s=settings.claims.keep_s,
            observer=TelemetryObserver(telemetry, records, clock),
        )

        lease = kernel.find("placement-lease", LeaseKeeper)
        orders = settings.orders
        order_settings = OrderSettings(
            orders.timeout_s, orders.load_interval_s, orders.load_s
        )
        sender = OrderSender(order_settings, lease, targets, directory, clock)
        kernel.register("order-sender", sender)
        if settings.placement.enabled:
            plan = PlacementSettings(
                settings.host.zone,
                settings.placement.period_s,
                settings.placement.layers_per_s,
                settings.placement.concurrent_loads,
            )
            planner = PlacementPlanner(plan, lease, directory, sender, settings.links)
            kernel.register("placement", planner)

        kernel.register("dispatcher", dispatcher)
        kernel.register(
            "fleet-view",
            FleetView(directory, dispatcher, settings.host.zone, settings.links),
        )
        kernel.register(
            "poller",
            LoadPoller(
                PollerSettings(settings.host.id, settings.host.zone),
                targets,
                directory,
                kernel.find("peers", object),
                kernel.find("facts", FactTable),
                clock,
                dispatcher.observe_load,
            ),
        )

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
        kernel.register("caller-listener", HttpListener(app, config))

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
        kernel.register("operator-listener", HttpListener(app, config))

    def _add_metrics_listener(self) -> None:
        app = MetricsApp(self.kernel.find("telemetry", Telemetry))
        config = ListenerConfig.from_settings(self._settings.metrics.bind)
        self.kernel.register("metrics-listener", HttpListener(app, config))


def key_number(key_id: str) -> int:
    """Return the number by which frames name a key of the settings.

    Two keys whose numbers collide are refused at the start by the sealer; the
    operator then gives one of them another id.
    """
    return xxhash.xxh32_intdigest(key_id.encode()) % KEY_NUMBERS
